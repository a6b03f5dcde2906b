import {connect} from 'node:net';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, closeGateways, type RawAnswer, sendsTo, startGateway, whole, wholeAnswer,
} from './gatewayFixture.js';

afterEach(closeGateways);

const refuses: RawAnswer = (socket, request) => {
	socket.write(wholeAnswer(request, '', {status: '503 Service Unavailable', more: 'X-Not-Run: 1\r\n'}));
};

describe('an answer', () => {
	test('passes unchanged, and the request with what the endpoint must know', async () => {
		const {gateway, endpoints} = await startGateway([whole]);
		const answer = await call(gateway.port, {method: 'PUT', path: '/a/b?c=%2F', body: 'four'});
		expect(answer).toMatchObject({status: 200, body: 'fine'});
		expect(answer.headers['x-stamp']).toBe('s');
		const {head, body} = endpoints[0]!.received[0]!;
		expect(head.startsWith('PUT /a/b?c=%2F HTTP/1.1\r\n')).toBe(true);
		expect(head).toMatch(/^x-expect: endpoint-0$/imu);
		expect(Number(/^x-deadline-ms: (?<ms>\d+)$/imu.exec(head)?.groups?.ms)).toBeLessThanOrEqual(2000);
		expect(body).toBe('four');
	});

	/** Answers that are none to the request; each endpoint spoils its first answer only. */
	const spoiled: ReadonlyArray<readonly [string, RawAnswer]> = [
		['of another request', (socket, request) => {
			socket.write(wholeAnswer({...request, id: 'other'}, 'not yours'));
		}],
		['without a stamp', (socket, request) => {
			socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nno`);
		}],
		['with an encoded body', (socket, request) => {
			socket.write(wholeAnswer(request, 'zipped', {more: 'Content-Encoding: gzip\r\n'}));
		}],
		['that breaks off', socket => {
			socket.end('HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 10\r\n\r\nhalf');
		}],
		['of bytes in no protocol', socket => {
			socket.end('garbage\r\n\r\n');
		}],
		['that never comes, its connection reset', socket => {
			socket.resetAndDestroy();
		}],
		['without a length, reset on the way', socket => {
			socket.write('HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		}],
	];

	test.each(spoiled)('%s makes an idempotent request be sent to another endpoint', async (_, spoil) => {
		let spoils = 1;
		const once: RawAnswer = (socket, request) => {
			spoils -= 1;
			(spoils >= 0 ? spoil : whole)(socket, request);
		};

		const {gateway, endpoints} = await startGateway([once, once]);
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		expect(sendsTo(endpoints)).toBe(2);
	});

	test.each(spoiled)('%s ends a request that must run at most once, without a promise', async (_, spoil) => {
		const {gateway, endpoints} = await startGateway([spoil, spoil], {route: {kind: 'atMostOnce'}});
		const answer = await call(gateway.port, {method: 'POST', body: 'x'});
		expect([502, 504]).toContain(answer.status);
		expect(answer.headers['retry-after']).toBeUndefined();
		expect(sendsTo(endpoints)).toBe(1);
	});

	test('without a length passes without one', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\n\r\nuntil the end`);
		}]);
		const answer = await call(gateway.port);
		expect(answer).toMatchObject({status: 200, body: 'until the end'});
		expect(answer.headers['content-length']).toBeUndefined();
		expect(answer.headers.connection).toBe('close');
	});

	test('followed by more bytes is the last on its connection', async () => {
		const {gateway, endpoints} = await startGateway([(socket, request) => {
			socket.write(wholeAnswer(request, 'fine'));
			setTimeout(() => {
				socket.write(wholeAnswer({...request, id: 'id-x'}, 'late'));
			}, 10);
		}]);
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		await vi.waitFor(() => {
			expect(endpoints[0]!.closed()).toBe(1);
		});
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
		expect(endpoints[0]!.connections()).toBe(2);
	});

	test('of an endpoint that promises not to have run, without its mark, is no promise to the caller', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(wholeAnswer(request, '', {status: '503 Service Unavailable'}));
		}], {route: {kind: 'atMostOnce'}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 502});
	});

	test('with a failure passes unchanged', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(wholeAnswer(request, 'broken', {status: '500 Internal Server Error'}));
		}], {route: {kind: 'atMostOnce'}});
		const answer = await call(gateway.port, {method: 'POST', body: 'x'});
		expect(answer).toMatchObject({status: 500, body: 'broken'});
		expect(answer.headers['x-stamp']).toBe('s');
	});
});

describe('a request that did not run', () => {
	test.each(['idempotent', 'atMostOnce'] as const)('is sent to another endpoint (%s)', async kind => {
		let refusals = 1;
		const refusesOnce: RawAnswer = (socket, request) => {
			refusals -= 1;
			(refusals >= 0 ? refuses : whole)(socket, request);
		};

		const {gateway, endpoints} = await startGateway([refusesOnce, refusesOnce], {route: {kind}});
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200});
		expect(sendsTo(endpoints)).toBe(2);
	});

	test('anywhere is refused with a time to come back', async () => {
		const {gateway, endpoints} = await startGateway([refuses, refuses, refuses, refuses], {route: {kind: 'atMostOnce', maximumAttempts: 2}});
		const answer = await call(gateway.port, {method: 'POST', body: 'x'});
		expect(answer.status).toBe(503);
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
		expect(sendsTo(endpoints)).toBe(2);
	});

	test('is refused at once where no repeat is left', async () => {
		const {gateway, endpoints} = await startGateway([refuses, refuses], {repeats: 0});
		expect(await call(gateway.port)).toMatchObject({status: 503});
		expect(sendsTo(endpoints)).toBe(1);
	});

	test('at an address that another endpoint has by now never goes there again', async () => {
		const misdirected: RawAnswer = (socket, request) => {
			socket.write(wholeAnswer(request, '', {status: '421 Misdirected Request'}));
		};

		const {gateway, endpoints} = await startGateway([misdirected, whole]);
		for (let index = 0; index < 6; index++) {
			expect(await call(gateway.port)).toMatchObject({status: 200}); // eslint-disable-line no-await-in-loop
		}

		expect(endpoints[0]!.received.length).toBeLessThanOrEqual(1);
	});

	test('since no endpoint listens goes elsewhere without using up attempts', async () => {
		const {gateway, endpoints} = await startGateway([whole, whole, whole], {route: {kind: 'atMostOnce', maximumAttempts: 1}, repeats: 0});
		endpoints[0]!.close();
		endpoints[1]!.close();
		expect(await call(gateway.port, {method: 'POST', body: 'x'})).toMatchObject({status: 200});
	});

	test('before the first plan is refused, not denied', async () => {
		const {gateway} = await startGateway([whole], {hasPlan: false});
		expect(await call(gateway.port)).toMatchObject({status: 503});
	});
});

describe('limits in time', () => {
	test('the route\'s timeout ends a request that was sent, and its endpoint learns it', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined], {route: {timeoutMs: 150, latencyTargetMs: 100}});
		expect(await call(gateway.port)).toMatchObject({status: 504});
		await vi.waitFor(() => {
			expect(endpoints[0]!.closed()).toBe(1);
		});
	});

	test('a caller that leaves ends an idempotent request at its endpoint', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined]);
		const socket = connect(gateway.port, '127.0.0.1');
		socket.write('GET /a HTTP/1.1\r\nHost: shop.example\r\nX-Id: gone\r\n\r\n');
		await vi.waitFor(() => {
			expect(endpoints[0]!.received).toHaveLength(1);
		});
		socket.destroy();
		await vi.waitFor(() => {
			expect(endpoints[0]!.closed()).toBe(1);
		});
	});
});
