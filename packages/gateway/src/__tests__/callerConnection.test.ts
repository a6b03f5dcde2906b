import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, closeGateways, sendsTo, startGateway, whole, wholeAnswer,
} from './gatewayFixture.js';

afterEach(closeGateways);

describe('a caller\'s connection', () => {
	const pipelined = 'GET /1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: shop.example\r\nX-Id: b\r\n\r\n';

	test('gets the answers in the order of its requests', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			setTimeout(() => {
				socket.write(wholeAnswer(request, `for ${request.id}`));
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

	test('is closed by a leaving instance only after the last of its answers', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			setTimeout(() => {
				socket.write(wholeAnswer(request, `for ${request.id}`));
			}, request.id === 'a' ? 1 : 60);
		}], {isLeaving: () => true});
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

	test('that crosses the close of its idle connection is not passed on', async () => {
		const {gateway, endpoints} = await startGateway([whole]);
		const socket = connect({port: gateway.port, host: '127.0.0.1', allowHalfOpen: true});
		socket.on('error', () => undefined);
		socket.resume();
		await call(gateway.port);
		gateway.server.closeIdle();
		await once(socket, 'end');
		socket.write('PUT /late HTTP/1.1\r\nHost: shop.example\r\nX-Id: late\r\n\r\n');
		await vi.waitFor(() => {
			expect(gateway.logged).toContain('requestNotRead');
		});
		socket.destroy();
		expect(endpoints[0]!.received.map(({id}) => id)).not.toContain('late');
	});

	test('that comes behind a connection\'s last answer is not passed on', async () => {
		const {gateway, endpoints} = await startGateway([(socket, request) => {
			socket.write(wholeAnswer(request, 'last'));
		}], {isLeaving: () => true});
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

	test.each([
		['a path that no route has', 404, {path: '/a', headers: {host: 'nowhere.example'}}],
		['a body over the limit', 413, {method: 'PUT', body: 'x'.repeat(1001)}],
		['a header block over the limit', 431, {headers: {'x-long': 'y'.repeat(9000)}}],
	] as const)('with %s is refused with %i', async (_, status, request) => {
		const {gateway, endpoints} = await startGateway([whole]);
		expect(await call(gateway.port, request)).toMatchObject({status});
		expect(sendsTo(endpoints)).toBe(0);
	});
});
