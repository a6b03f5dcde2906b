/**
 * Responses of faulty endpoints that reached callers as responses to other requests, as false statements that a request
 * did not run, as complete successes, or that never ended.
 */
import {connect, type Socket} from 'node:net';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {resetConnection} from '../resetConnection.js';
import {
	call, closeGateways, formatResponse, receivedCount, respondOk, type RespondRaw, startGateway,
} from './gatewayFixture.js';
import {readUntilEnd} from './rawCaller.js';

afterEach(closeGateways);

const refusal = (idHeader: string): string => `HTTP/1.1 503 Service Unavailable\r\n${idHeader}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

/** Answers the first request on each connection; on the second one, writes bytes and never the answer. */
const respondThenWrite = (bytesOf: (firstId: string) => string): RespondRaw => {
	const firstIds = new WeakMap<Socket, string>();
	return (socket, request) => {
		if (request.number === 1) {
			firstIds.set(socket, request.id);
			socket.write(formatResponse(request, 'first'));
		} else {
			socket.write(bytesOf(firstIds.get(socket)!));
		}
	};
};

describe('a second copy of an earlier response on a connection that is in use again', () => {
	const copies: ReadonlyArray<readonly [string, (firstId: string) => string]> = [
		['of a success', id => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst`],
		['of a success without an id', () => 'HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst'],
		['of a refusal', id => refusal(`X-Id: ${id}\r\n`)],
		['of a refusal without an id', () => refusal('')],
		['of a misdirected response without an id', () => 'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'],
	];

	test.each(copies)('%s: an at-most-once request fails, is not said to be not run and is sent only once', async (_, bytesOf) => {
		const {gateway, endpoints} = await startGateway([respondThenWrite(bytesOf)], {route: {kind: 'atMostOnce'}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200, body: 'first'});
		const response = await call(gateway.port, {method: 'POST', body: 'y'});
		expect(endpoints[0]!.connectionCount()).toBe(1);
		expect(response.status).toBe(502);
		expect(response.headers['retry-after']).toBeUndefined();
		expect(receivedCount(endpoints)).toBe(2);
	});

	test.each(copies)('%s: an idempotent request gets its own response from another endpoint', async (_, bytesOf) => {
		const {gateway} = await startGateway([respondThenWrite(bytesOf), respondThenWrite(bytesOf)], {route: {kind: 'idempotent'}});
		const bodies = await Promise.all([call(gateway.port), call(gateway.port)]);
		expect(bodies.map(({body}) => body)).toEqual(['first', 'first']);
		const responses = [await call(gateway.port), await call(gateway.port)];
		for (const response of responses) {
			expect([200, 502]).toContain(response.status);
		}
	});
});

test('a request without an id gets a connection of its own, on which no earlier request can be answered late', async () => {
	const {gateway, endpoints} = await startGateway([(socket, request) => {
		socket.write(formatResponse(request, 'fine'));
	}]);
	await call(gateway.port);
	for (let index = 0; index < 2; index++) {
		expect(await call(gateway.port, {headers: {'x-id': ''}})).toMatchObject({status: 200}); // eslint-disable-line no-await-in-loop
	}

	expect(endpoints[0]!.received.map(({number}) => number)).toEqual([1, 1, 1]);
});

describe('a response that breaks off', () => {
	const halves: ReadonlyArray<readonly [string, string]> = [
		['with a length', 'Content-Length: 10\r\n\r\nhalf'],
		['in chunks', 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'],
	];

	test.each(halves)('%s does not reach the caller', async (_, rest) => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\n${rest}`);
		}], {route: {kind: 'atMostOnce'}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 502});
	});
});

test.each([
	['small', 1000],
	['large', 4_000_000],
])('a %s response without a length whose connection is reset is not complete for the caller', async (_, bytes) => {
	const {gateway} = await startGateway([(socket, request) => {
		socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\n\r\n${'x'.repeat(bytes)}`, () => {
			// The reset arrives together with the last bytes.
			resetConnection(socket);
		});
	}], {route: {kind: 'atMostOnce'}});
	const {text, ending} = await readUntilEnd(gateway.port);
	expect(text.startsWith('HTTP/1.1 502') || ending === 'reset').toBe(true);
});

describe('bytes without end', () => {
	const endlessly = (start: (id: string) => string, piece: string): RespondRaw => (socket, request) => {
		const write = () => {
			while (!socket.destroyed && socket.write(piece)) {
				// Writes until the buffer is full.
			}
		};

		socket.on('drain', write);
		socket.write(start(request.id));
		write();
	};

	const head = (id: string) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\n`;
	const cases: ReadonlyArray<readonly [string, RespondRaw]> = [
		['that are no response', endlessly(() => '', 'x'.repeat(1000))],
		['in the reason phrase', endlessly(() => 'HTTP/1.1 200 ', 'x'.repeat(1000))],
		['in one header', endlessly(id => `${head(id)}X-More: `, 'x'.repeat(1000))],
		['in many headers', endlessly(head, `X-More: ${'x'.repeat(500)}\r\n`)],
		['in interim responses', endlessly(() => '', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n')],
		['in a chunk extension', endlessly(id => `${head(id)}Transfer-Encoding: chunked\r\n\r\n5;`, 'x'.repeat(1000))],
		['in trailers', endlessly(id => `${head(id)}Transfer-Encoding: chunked\r\n\r\n0\r\n`, `X-More: ${'x'.repeat(500)}\r\n`)],
		['in the body of a failure', endlessly(id => `HTTP/1.1 500 Broken\r\nX-Id: ${id}\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n`, `3e8\r\n${'x'.repeat(1000)}\r\n`)],
	];

	test.each(cases)('%s: the request fails without being said to be not run, and the connection is closed', async (_, respond) => {
		const {gateway, endpoints} = await startGateway([respond], {route: {kind: 'atMostOnce', timeoutMs: 5000}});
		const response = await call(gateway.port, {method: 'POST', body: 'x'});
		expect(response.status).toBe(502);
		expect(response.headers['retry-after']).toBeUndefined();
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
		expect(receivedCount(endpoints)).toBe(1);
	});

	test.each([
		['chunked', 'Transfer-Encoding: chunked\r\n\r\n', `3e8\r\n${'x'.repeat(1000)}\r\n`],
		['without a length', '\r\n', 'x'.repeat(1000)],
	])('in the body of a success, %s: the response is cut off at the time limit and is not complete', async (_, end, piece) => {
		const {gateway, endpoints} = await startGateway([endlessly(id => `${head(id)}${end}`, piece)], {route: {timeoutMs: 700, latencyTargetMs: 100}});
		expect(await readUntilEnd(gateway.port)).toMatchObject({ending: 'reset'});
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
	});

	test('for an at-most-once request whose caller has left: the connection is closed at the time limit', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined], {route: {kind: 'atMostOnce', timeoutMs: 300, latencyTargetMs: 100}});
		const socket = connect(gateway.port, '127.0.0.1');
		socket.write('POST /a HTTP/1.1\r\nHost: shop.example\r\nX-Id: left\r\nContent-Length: 1\r\n\r\nx');
		await vi.waitFor(() => {
			expect(receivedCount(endpoints)).toBe(1);
		});
		socket.destroy();
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
	});
});

test('a header that can\'t be encoded for the endpoint fails the request, not the process', async () => {
	const {gateway} = await startGateway([respondOk], {route: {kind: 'atMostOnce'}});
	const response = await call(gateway.port, {method: 'POST', body: 'x', path: '/ÿ'});
	expect([200, 400, 502]).toContain(response.status);
	expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200});
});
