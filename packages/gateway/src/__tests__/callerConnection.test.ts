import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, closeGateways, receivedCount, type RespondRaw, startGateway, respondOk, formatResponse,
} from './gatewayFixture.js';

afterEach(closeGateways);

describe('caller connection', () => {
	const pipelined = 'GET /1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: shop.example\r\nX-Id: b\r\n\r\n';

	test('receives pipelined responses in the order of the requests', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			setTimeout(() => {
				socket.write(formatResponse(request, `for ${request.id}`));
			}, request.id === 'a' ? 60 : 1);
		}]);
		const socket = connect(gateway.port, '127.0.0.1');
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
		});
		socket.write(pipelined);
		await vi.waitFor(() => {
			expect(text).toContain('for b');
		});
		expect(text.indexOf('for a')).toBeLessThan(text.indexOf('for b'));
		socket.destroy();
	});

	test('is closed during shutdown only after its last response', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			setTimeout(() => {
				socket.write(formatResponse(request, `for ${request.id}`));
			}, request.id === 'a' ? 1 : 60);
		}], {isShuttingDown: () => true});
		const socket = connect(gateway.port, '127.0.0.1');
		let text = '';
		let hasEnded = false;
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
		});
		socket.on('end', () => {
			hasEnded = true;
		});
		socket.write(pipelined);
		await vi.waitFor(() => {
			expect(hasEnded).toBe(true);
		});
		expect(text).toContain('for a');
		expect(text).toContain('for b');
	});

	test('that was established just before a planned stop is served, although it had not been accepted', async () => {
		const {gateway} = await startGateway([respondOk]);
		const responses = Array.from({length: 30}, async () => call(gateway.port));
		// The operating system establishes the connections in this turn; the server accepts them in a later one.
		await new Promise(resolve => {
			process.nextTick(resolve);
		});
		const stopped = gateway.server.stopListening();
		gateway.server.closeIdle();
		await stopped;
		gateway.server.closeIdle();
		const received = await Promise.all(responses);
		expect(received.map(({status}) => status)).toEqual(Array.from({length: 30}, () => 200));
		const later = await call(gateway.port);
		expect(later.status).toBe(0);
	});

	test('does not forward a request that arrives while its idle connection is closing', async () => {
		const {gateway, endpoints} = await startGateway([respondOk]);
		const socket = connect({port: gateway.port, host: '127.0.0.1', allowHalfOpen: true});
		socket.on('error', () => undefined);
		socket.resume();
		await call(gateway.port);
		await vi.waitFor(() => {
			expect(gateway.server.isRequestExpected()).toBe(false);
		});
		gateway.server.closeIdle();
		await once(socket, 'end');
		socket.write('PUT /late HTTP/1.1\r\nHost: shop.example\r\nX-Id: late\r\n\r\n');
		await vi.waitFor(() => {
			expect(gateway.logged).toContain('requestNotRead');
		});
		socket.destroy();
		expect(endpoints[0]!.received.map(({id}) => id)).not.toContain('late');
	});

	test('does not forward a request that arrives after the last response of a connection', async () => {
		const {gateway, endpoints} = await startGateway([(socket, request) => {
			socket.write(formatResponse(request, 'last'));
		}], {isShuttingDown: () => true});
		const socket = connect({port: gateway.port, host: '127.0.0.1', allowHalfOpen: true});
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('PUT /late HTTP/1.1\r\nHost: shop.example\r\nX-Id: late\r\n\r\n');
		});

		socket.write('GET /1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: first\r\n\r\n');
		await once(socket, 'end');
		socket.destroy();
		expect(endpoints[0]!.received.map(({id}) => id)).toEqual(['first']);
	});

	test('does not get the rejection of a malformed request as the response to an open one', async () => {
		const {gateway, endpoints} = await startGateway([() => undefined], {route: {kind: 'atMostOnce'}});
		const socket = connect(gateway.port, '127.0.0.1');
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		socket.write('POST /1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: open\r\nContent-Length: 1\r\n\r\nx');
		await vi.waitFor(() => {
			expect(receivedCount(endpoints)).toBe(1);
		});
		socket.write('not a request\r\n\r\n');
		await once(socket, 'close');
		expect(text).toBe('');
	});

	test('gets the usual reason phrase with the rejection of a header block over the limit of the parser', async () => {
		const {gateway} = await startGateway([respondOk]);
		const socket = connect(gateway.port, '127.0.0.1');
		socket.write(`GET / HTTP/1.1\r\nHost: shop.example\r\nX-Long: ${'x'.repeat(300_000)}\r\n\r\n`);
		const [chunk] = await once(socket, 'data') as [Uint8Array];
		expect(Buffer.from(chunk).toString('latin1')).toMatch(/^HTTP\/1\.1 431 Request Header Fields Too Large\r\n/u);
		socket.destroy();
	});

	test('counts a request as open until its response has been handed to the operating system', async () => {
		const body = 'x'.repeat(900_000);
		const respond: RespondRaw = (socket, request) => {
			socket.write(formatResponse(request, body));
		};

		const {gateway, endpoints} = await startGateway([respond, respond, respond], {route: {timeoutMs: 20_000}});
		const requests = 12;
		const socket = connect(gateway.port, '127.0.0.1');
		socket.pause();
		socket.write('GET / HTTP/1.1\r\nHost: shop.example\r\nX-Id: slow\r\n\r\n'.repeat(requests));
		await vi.waitFor(() => {
			expect(receivedCount(endpoints)).toBe(requests);
		});
		// All responses have been read from the endpoint when a further request is answered.
		await call(gateway.port);
		expect(gateway.server.openRequestCount()).toBeGreaterThan(0);
		let receivedBytes = 0;
		socket.on('data', chunk => {
			receivedBytes += chunk.length;
		});
		socket.resume();
		await vi.waitFor(() => {
			expect(gateway.server.openRequestCount()).toBe(0);
		}, {timeout: 10_000});
		await vi.waitFor(() => {
			expect(receivedBytes).toBeGreaterThan(requests * body.length);
		}, {timeout: 10_000});
		socket.destroy();
	});

	test.each([
		['is rejected with 503 and Retry-After while the plan may be outdated', true, 503],
		['is rejected with 404 while the plan is current', false, 404],
	])('a request without a route %s, and a line is logged', async (_, isOutdated, status) => {
		const {gateway} = await startGateway([respondOk], {isPlanOutdated: () => isOutdated});
		const response = await call(gateway.port, {headers: {host: 'nowhere.example'}});
		expect(response.status).toBe(status);
		expect(response.headers['retry-after'] !== undefined).toBe(isOutdated);
		expect(gateway.logged).toContain('requestRejected');
	});

	test.each([
		['a path that matches no route', 404, {path: '/a', headers: {host: 'nowhere.example'}}],
		['a body over the limit', 413, {method: 'PUT', body: 'x'.repeat(1001)}],
		['a header block over the limit', 431, {headers: {'x-long': 'y'.repeat(9000)}}],
	] as const)('rejects a request with %s with status %i', async (_, status, request) => {
		const {gateway, endpoints} = await startGateway([respondOk]);
		expect(await call(gateway.port, request)).toMatchObject({status});
		expect(receivedCount(endpoints)).toBe(0);
	});
});
