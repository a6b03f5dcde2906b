/**
 * Callers that have left before their request is written to an endpoint. The close of the connection lay unread behind
 * the request, or was known and ignored, and endpoints ran requests whose answers nobody was waiting for.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Dispatcher} from '@filbertwell/dispatch/dispatcher';
import {silentLogger} from '@filbertwell/logger/logger';
import type {RouteKind} from '@filbertwell/types/intent';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {createEndpointClient} from '../endpointClient.js';
import type {EndpointConnection} from '../endpointConnectionPool.js';
import {createForwardRequest} from '../forwardRequest.js';
import {
	call, closeGateways, formatResponse, receivedCount, type RespondRaw, respondOk, startGateway, testHeaders, testRoute,
} from './gatewayFixture.js';

afterEach(closeGateways);

const callerCount = 20;
/** Time in which a request that was forwarded would have reached an endpoint on loopback. */
const settleMs = 150;

const requestText = (id: string, {method = 'GET', body = ''} = {}) =>
	`${method} /a HTTP/1.1\r\nHost: shop.example\r\nX-Id: ${id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const openConnection = async (port: number): Promise<Socket> => {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
};

/** Opens a connection and has one request answered on it. */
const openKeptConnection = async (port: number): Promise<Socket> => {
	const socket = await openConnection(port);
	socket.write(requestText('kept'));
	await once(socket, 'data');
	return socket;
};

type LeavingCaller = {
	readonly open: (port: number) => Promise<Socket>;
	readonly text: (id: string) => string;
	readonly leave: (socket: Socket) => void;
};

const close = (socket: Socket) => {
	socket.destroy();
};

const leavingCallers: ReadonlyArray<readonly [string, LeavingCaller]> = [
	['on a new connection', {open: openConnection, text: id => requestText(id), leave: close}],
	['on a kept connection', {open: openKeptConnection, text: id => requestText(id), leave: close}],
	['with a body', {open: openConnection, text: id => requestText(id, {method: 'POST', body: 'x'.repeat(900)}), leave: close}],
	['with three pipelined requests', {open: openConnection, text: id => requestText(id).repeat(3), leave: close}],
	[
		'that ends only its direction', {
			open: openConnection, text: id => requestText(id), leave(socket) {
				socket.end();
			},
		},
	],
	[
		'that resets the connection', {
			open: openConnection, text: id => requestText(id), leave(socket) {
				socket.resetAndDestroy();
			},
		},
	],
];

describe.each<RouteKind>(['idempotent', 'atMostOnce'])('%s requests', kind => {
	test.each(leavingCallers)('whose close was received before they were read reach no endpoint: a caller %s', async (_, {open, text, leave}) => {
		const {gateway, endpoints} = await startGateway([respondOk], {route: {kind}});
		const sockets = await Promise.all(Array.from({length: callerCount}, async () => open(gateway.port)));
		// Writing and closing in one turn puts both into the receive buffer before the server reads either.
		for (const [index, socket] of sockets.entries()) {
			socket.write(text(`gone-${index}`));
			leave(socket);
		}

		expect(await call(gateway.port)).toMatchObject({status: 200});
		await delay(settleMs);
		expect(endpoints[0]!.received.filter(({id}) => id.startsWith('gone')).map(({id}) => id)).toEqual([]);
		expect(gateway.server.openRequestCount()).toBe(0);
	});

	test('are not sent to a second endpoint if the close was received together with the answer of the first', async () => {
		let leave: () => void = () => undefined;
		const refuse: RespondRaw = (socket, request) => {
			socket.write(formatResponse(request, '', {status: '503 Busy', extraHeaders: 'X-Not-Run: 1\r\n'}));
			leave();
		};

		const {gateway, endpoints} = await startGateway([refuse, refuse, refuse], {route: {kind}});
		for (let round = 0; round < callerCount; round++) {
			const socket = await openConnection(gateway.port); // eslint-disable-line no-await-in-loop
			leave = () => {
				close(socket);
			};

			socket.write(requestText(`gone-${round}`));
			await once(socket, 'close'); // eslint-disable-line no-await-in-loop
		}

		await delay(settleMs);
		expect(receivedCount(endpoints)).toBe(callerCount);
	});

	test('whose caller leaves while a connection to the endpoint is being opened are not written', async () => {
		let finishConnecting: (connection: EndpointConnection) => void = () => undefined;
		const connecting = new Promise<EndpointConnection>(resolve => {
			finishConnecting = resolve;
		});
		const caller = new AbortController();
		let isWritten = false;
		let released = 0;
		const client = createEndpointClient({
			acquire: async () => connecting,
			open: async () => connecting,
			release() {
				released += 1;
			},
			closeEndpoint: () => undefined,
			closeIdle: () => undefined,
			close: () => undefined,
		}, testHeaders, afterNextPoll);
		const result = forwardTo(kind, caller.signal, {
			send: async options => client.send({
				...options, onWrite() {
					isWritten = true;
				},
			}),
		});
		await delay(0);
		caller.abort();
		finishConnecting({socket: connect(1, '127.0.0.1').on('error', () => undefined), connectMs: 1});
		expect(await result).toEqual({kind: 'gone'});
		await vi.waitFor(() => {
			expect(released).toBe(1);
		});
		expect(isWritten).toBe(false);
	});
});

const endpoint = {
	id: 'endpoint-0', startedAtUnixMs: 1, sequence: 1, service: 'orders', host: '127.0.0.1', port: 1, availabilityZone: 'south-a', slots: 4, state: 'ready' as const, coldForMs: 0,
};

const doNothing = () => undefined;

const dispatcher: Dispatcher = {
	configure: doNothing,
	recordArrival: doNothing,
	acquire: () => ({
		endpoint, expectedMs: 10, expectedWaitMs: 0, reportLoad: doNothing, end: doNothing,
	}),
	discard: doNothing,
	recordConnectTime: doNothing,
	updateRegionShares: doNothing,
};

const forwardTo = async (kind: RouteKind, callerDisconnected: AbortSignal, client: Parameters<typeof createForwardRequest>[0]['client']) => createForwardRequest({
	clock, random: () => 0.5, dispatcher, client, retryBudgetOf: () => ({recordRequest: doNothing, tryTake: () => true}), afterNextPoll, log: silentLogger,
})({
	route: {...testRoute, kind},
	service: 'orders',
	affinityKey: undefined,
	request: {
		method: 'POST', path: '/', headers: [], body: new Uint8Array(), requestId: 'r',
	},
	arrivedAtMs: clock(),
	callerTimeoutMs: undefined,
	callerDisconnected,
});

test('an at-most-once request that was written goes on when its caller leaves', async () => {
	const answers: Array<() => void> = [];
	const {gateway, endpoints} = await startGateway([(socket, request) => {
		answers.push(() => {
			socket.write(formatResponse(request, 'done'));
		});
	}], {route: {kind: 'atMostOnce'}});
	const socket = await openConnection(gateway.port);
	socket.write(requestText('written'));
	await vi.waitFor(() => {
		expect(answers).toHaveLength(1);
	});
	socket.destroy();
	await delay(settleMs);
	expect(endpoints[0]!.closedCount()).toBe(0);
	answers[0]!();
	expect(receivedCount(endpoints)).toBe(1);
});
