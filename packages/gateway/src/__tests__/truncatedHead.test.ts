/**
 * Endpoints that stop in the middle of the head of a response and close the connection.
 */
import type {Socket} from 'node:net';
import {
	afterEach, expect, test,
} from 'vitest';
import {resetConnection} from '../resetConnection.js';
import {call, closeGateways, startGateway} from './gatewayFixture.js';

afterEach(closeGateways);

const lengthHeaders = [
	['a length', 'Content-Length: 10\r\n'],
	['chunks', 'Transfer-Encoding: chunked\r\n'],
	['neither length nor chunks', ''],
] as const;

const endings: ReadonlyArray<readonly [string, (socket: Socket, text: string) => void]> = [
	['closed', (socket, text) => {
		socket.end(text);
	}],
	['reset', (socket, text) => {
		socket.write(text, () => {
			resetConnection(socket);
		});
	}],
];

const cases = lengthHeaders.flatMap(([name, lengthHeader]) => endings.map(([ending, end]) => [name, ending, lengthHeader, end] as const));

/** Callers got a 200 with an empty or short body, framed as whole. */
test.each(cases)('a head with %s that ends at any byte, its connection %s, is no response for the caller', async (_, _ending, lengthHeader, end) => {
	const headOf = (id: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\n${lengthHeader}X-Load: 1,0,4\r\n\r\n`;
	const statuses = new Set<number>();
	for (let length = 0; length < headOf('id-0').length; length += 1) {
		// An endpoint that fails often is excluded, so each request has its own.
		const {gateway} = await startGateway([(socket, request) => { // eslint-disable-line no-await-in-loop
			end(socket, headOf(request.id).slice(0, -1).slice(0, length));
		}], {route: {kind: 'atMostOnce'}});
		const {status} = await call(gateway.port, {method: 'POST', body: 'x'}); // eslint-disable-line no-await-in-loop
		statuses.add(status);
		closeGateways();
	}

	expect([...statuses]).toEqual([502]);
});
