import {connect} from 'node:net';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, closeGateways, type RespondRaw, receivedCount, startGateway, respondOk, formatResponse,
} from './gatewayFixture.js';

afterEach(closeGateways);

const respondNotRun: RespondRaw = (socket, request) => {
	socket.write(formatResponse(request, '', {status: '503 Service Unavailable', extraHeaders: 'X-Not-Run: 1\r\n'}));
};

describe('endpoint response', () => {
	test('is forwarded unchanged, and the request carries the endpoint id and the deadline', async () => {
		const {gateway, endpoints} = await startGateway([respondOk]);
		const response = await call(gateway.port, {method: 'PUT', path: '/a/b?c=%2F', body: 'four'});
		expect(response).toMatchObject({status: 200, body: 'fine'});
		expect(response.headers['x-stamp']).toBe('s');
		const {head, body} = endpoints[0]!.received[0]!;
		expect(head.startsWith('PUT /a/b?c=%2F HTTP/1.1\r\n')).toBe(true);
		expect(head).toMatch(/^x-expect: endpoint-0$/imu);
		expect(Number(/^x-deadline-ms: (?<ms>\d+)$/imu.exec(head)?.groups?.ms)).toBeLessThanOrEqual(2000);
		expect(body).toBe('four');
	});

	/** Responses that must not be used for the request. */
	const unusableResponses: ReadonlyArray<readonly [string, RespondRaw]> = [
		['to another request', (socket, request) => {
			socket.write(formatResponse({...request, id: 'other'}, 'not yours'));
		}],
		['without a stamp header', (socket, request) => {
			socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nno`);
		}],
		['with an encoded body', (socket, request) => {
			socket.write(formatResponse(request, 'zipped', {extraHeaders: 'Content-Encoding: gzip\r\n'}));
		}],
		['that is truncated', socket => {
			socket.end('HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 10\r\n\r\nhalf');
		}],
		['that is not HTTP', socket => {
			socket.end('garbage\r\n\r\n');
		}],
		['that is missing because the connection was reset', socket => {
			socket.resetAndDestroy();
		}],
		['without a length whose connection is reset', socket => {
			socket.write('HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		}],
	];

	test.each(unusableResponses)('%s: an idempotent request is retried on another endpoint', async (_, respondUnusably) => {
		let remaining = 1;
		const respondUnusablyOnce: RespondRaw = (socket, request) => {
			remaining -= 1;
			(remaining >= 0 ? respondUnusably : respondOk)(socket, request);
		};

		const {gateway, endpoints} = await startGateway([respondUnusablyOnce, respondUnusablyOnce]);
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		expect(receivedCount(endpoints)).toBe(2);
	});

	test.each(unusableResponses)('%s: an at-most-once request fails without a Retry-After header', async (_, respondUnusably) => {
		const {gateway, endpoints} = await startGateway([respondUnusably, respondUnusably], {route: {kind: 'atMostOnce'}});
		const response = await call(gateway.port, {method: 'POST', body: 'x'});
		expect([502, 504]).toContain(response.status);
		expect(response.headers['retry-after']).toBeUndefined();
		expect(receivedCount(endpoints)).toBe(1);
	});

	test('without a length is forwarded without a length', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\n\r\nuntil the end`);
		}]);
		const response = await call(gateway.port);
		expect(response).toMatchObject({status: 200, body: 'until the end'});
		expect(response.headers['content-length']).toBeUndefined();
		expect(response.headers.connection).toBe('close');
	});

	test('followed by unexpected bytes is the last one on its connection', async () => {
		const {gateway, endpoints} = await startGateway([(socket, request) => {
			socket.write(formatResponse(request, 'fine'));
			setTimeout(() => {
				socket.write(formatResponse({...request, id: 'id-x'}, 'late'));
			}, 10);
		}]);
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		expect(endpoints[0]!.connectionCount()).toBe(2);
	});

	test('with status 503 but without the not-run header becomes a 502 for the caller', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(formatResponse(request, '', {status: '503 Service Unavailable'}));
		}], {route: {kind: 'atMostOnce'}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 502});
	});

	test('with status 500 is forwarded unchanged for an at-most-once request', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(formatResponse(request, 'broken', {status: '500 Internal Server Error'}));
		}], {route: {kind: 'atMostOnce'}});
		const response = await call(gateway.port, {method: 'POST', body: 'x'});
		expect(response).toMatchObject({status: 500, body: 'broken'});
		expect(response.headers['x-stamp']).toBe('s');
	});
});

describe('request that did not run', () => {
	test.each(['idempotent', 'atMostOnce'] as const)('is retried on another endpoint (%s)', async kind => {
		let remaining = 1;
		const respondNotRunOnce: RespondRaw = (socket, request) => {
			remaining -= 1;
			(remaining >= 0 ? respondNotRun : respondOk)(socket, request);
		};

		const {gateway, endpoints} = await startGateway([respondNotRunOnce, respondNotRunOnce], {route: {kind}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200});
		expect(receivedCount(endpoints)).toBe(2);
	});

	test('on any endpoint is rejected with a Retry-After header', async () => {
		const {gateway, endpoints} = await startGateway([respondNotRun, respondNotRun, respondNotRun, respondNotRun], {route: {kind: 'atMostOnce', maximumAttempts: 2}});
		const response = await call(gateway.port, {method: 'POST', body: 'x'});
		expect(response.status).toBe(503);
		expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
		expect(receivedCount(endpoints)).toBe(2);
	});

	test('is rejected immediately if the retry budget is used up', async () => {
		const {gateway, endpoints} = await startGateway([respondNotRun, respondNotRun], {extraRetries: 0});
		expect(await call(gateway.port)).toMatchObject({status: 503});
		expect(receivedCount(endpoints)).toBe(1);
	});

	test('because another endpoint uses the address is not sent there again', async () => {
		const respondMisdirected: RespondRaw = (socket, request) => {
			socket.write(formatResponse(request, '', {status: '421 Misdirected Request'}));
		};

		const {gateway, endpoints} = await startGateway([respondMisdirected, respondOk]);
		for (let index = 0; index < 6; index++) {
			expect(await call(gateway.port)).toMatchObject({status: 200}); // eslint-disable-line no-await-in-loop
		}

		expect(endpoints[0]!.received.length).toBeLessThanOrEqual(1);
	});

	test('because the endpoint was unreachable is sent elsewhere without using up attempts', async () => {
		const {gateway, endpoints} = await startGateway([respondOk, respondOk, respondOk], {route: {kind: 'atMostOnce', maximumAttempts: 1}, extraRetries: 0});
		endpoints[0]!.close();
		endpoints[1]!.close();
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200});
	});

	test('because there is no plan yet is rejected with 503, not 404', async () => {
		const {gateway} = await startGateway([respondOk], {hasPlan: false});
		expect(await call(gateway.port)).toMatchObject({status: 503});
	});
});

describe('time limits', () => {
	test('the route timeout ends a sent request and closes the connection to the endpoint', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined], {route: {timeoutMs: 150, latencyTargetMs: 100}});
		expect(await call(gateway.port)).toMatchObject({status: 504});
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
	});

	test('a disconnected caller aborts an idempotent request at its endpoint', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined]);
		const socket = connect(gateway.port, '127.0.0.1');
		socket.write('GET /a HTTP/1.1\r\nHost: shop.example\r\nX-Id: gone\r\n\r\n');
		await vi.waitFor(() => {
			expect(endpoints[0]!.received).toHaveLength(1);
		});
		socket.destroy();
		await vi.waitFor(() => {
			expect(endpoints[0]!.closedCount()).toBe(1);
		});
	});
});
