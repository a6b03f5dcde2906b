import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {
	call, callRaw, closedEndpoint, createCleanup, serviceWith, startEntry, startRawUpstream, startUpstream,
} from './testEntry.js';

const cleanup = createCleanup();
afterEach(async () => cleanup.run());

const order = {
	path: '/inventory/order/1', method: 'POST', headers: {'idempotency-key': 'k'}, body: 'x',
};

/** Writes the given bytes whenever data arrives on a connection, and then closes it unless `closes` is false. */
const respondRaw = (bytes: string, closes = true) => (socket: Socket) => {
	socket.on('data', () => {
		socket.write(bytes, () => {
			if (closes) {
				socket.destroy();
			}
		});
	});
};

/** Whether a request receives a complete response; a reset connection counts as incomplete. */
const receivesWholeResponse = async (port: number): Promise<boolean> => {
	try {
		const {isWhole} = await call(port);
		return isWhole;
	} catch {
		return false;
	}
};

test.each([
	{name: 'is shorter than its Content-Length', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc'},
	{name: 'ends before its last chunk', bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n'},
])('a response that $name does not look complete to the caller', async ({bytes}) => {
	const {port} = await startEntry(cleanup, [serviceWith([await startRawUpstream(cleanup, respondRaw(bytes))])]);
	expect(await receivesWholeResponse(port)).toBe(false);
});

test.each([
	{name: 'closes without a response', bytes: ''},
	{name: 'sends invalid HTTP', bytes: 'nonsense\r\n\r\n'},
	{name: 'sends Content-Length and Transfer-Encoding', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'},
	{name: 'sends oversized headers', bytes: `HTTP/1.1 200 OK\r\nx: ${'a'.repeat(70_000)}\r\n\r\n`},
	{name: 'closes before the end of the body', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc'},
])('an at-most-once request whose upstream $name is in doubt and is sent once', async ({bytes}) => {
	let connections = 0;
	const upstream = await startRawUpstream(cleanup, socket => {
		connections += 1;
		respondRaw(bytes)(socket);
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const answer = await call(port, order);
	expect(answer.headers['x-filbertwell-outcome']).toBe('in-doubt');
	expect(JSON.parse(answer.body)).toMatchObject({ask: '/orders?service=inventory&key=k'});
	expect(connections).toBe(1);
});

test('a refused connection proves that the request did not run', async () => {
	const {port} = await startEntry(cleanup, [serviceWith([await closedEndpoint()])]);
	const read = await call(port);
	expect(read.status).toBe(503);
	expect(read.headers['x-filbertwell-outcome']).toBe('not-run');
	const answer = await call(port, order);
	expect(answer.headers['x-filbertwell-outcome']).toBe('not-run');
});

test('a not-run outcome of the upstream is reported to the caller as not-run', async () => {
	const upstream = await startUpstream(cleanup, (_request, response) => {
		response.writeHead(503, {'x-upstream-outcome': 'not-run'});
		response.end('full');
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const answer = await call(port, order);
	expect(answer.status).toBe(503);
	expect(answer.headers['x-filbertwell-outcome']).toBe('not-run');
});

test('an idempotent request is retried when the upstream closes a keep-alive connection on reuse', async () => {
	let requests = 0;
	const upstream = await startRawUpstream(cleanup, socket => {
		let first = true;
		socket.on('data', () => {
			requests += 1;
			if (!first) {
				socket.destroy();
				return;
			}

			first = false;
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		});
	}, {slots: 1});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	// The retry budget grows with the number of requests, so the first ones may fail with 502.
	const statuses: number[] = [];
	for (let index = 0; index < 40; index += 1) {
		const {status} = await call(port, {path: `/inventory/${index}`}); // eslint-disable-line no-await-in-loop
		statuses.push(status);
	}

	expect(requests).toBeGreaterThan(40);
	expect(statuses.filter(status => status !== 200 && status !== 502)).toStrictEqual([]);
});

test('at-most-once requests do not share a keep-alive connection', async () => {
	const ports = new Set<number>();
	const upstream = await startUpstream(cleanup, (request, response) => {
		ports.add(request.socket.remotePort ?? 0);
		response.end('done');
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	for (const key of ['a', 'b', 'c']) {
		await call(port, {...order, headers: {'idempotency-key': key}}); // eslint-disable-line no-await-in-loop
	}

	expect(ports.size).toBe(3);
});

test('early hints are dropped and the final response is complete', async () => {
	const upstream = await startUpstream(cleanup, (_request, response) => {
		response.writeEarlyHints({link: '</a.css>; rel=preload'});
		response.end('final');
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	expect(await call(port)).toMatchObject({status: 200, body: 'final', isWhole: true});
});

test('trailers of a response are relayed', async () => {
	const upstream = await startUpstream(cleanup, (request, response) => {
		request.resume();
		request.once('end', () => {
			response.writeHead(200, {trailer: 'x-sum'});
			response.write('part');
			response.addTrailers({'x-sum': '7'});
			response.end();
		});
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	expect(await call(port)).toMatchObject({trailers: {'x-sum': '7'}});
});

test('a response to HEAD keeps its Content-Length, has no body and leaves the connection usable', async () => {
	const upstream = await startUpstream(cleanup, (_request, response) => {
		response.writeHead(200, {'content-length': 1000});
		response.end();
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	cleanup.add(() => {
		agent.destroy();
	});
	for (let index = 0; index < 3; index += 1) {
		const answer = await call(port, {method: 'HEAD', agent}); // eslint-disable-line no-await-in-loop
		expect(answer).toMatchObject({status: 200, body: '', isWhole: true});
		expect(answer.headers['content-length']).toBe('1000');
	}
});

test('large request and response bodies are relayed completely', async () => {
	const upstream = await startUpstream(cleanup, (request, response) => {
		request.pipe(response);
	});
	const body = Buffer.alloc(8_000_000, 'abcdefg');
	const {port} = await startEntry(cleanup, [serviceWith([upstream], {maximumBodyBytes: 10_000_000})]);
	const answer = await call(port, {method: 'POST', body, headers: {'content-length': body.length}});
	expect(answer.body === body.toString('utf8')).toBe(true);
});

test.each([
	{name: 'small', bytes: 20_000, limit: 10_000},
	{name: 'larger than the buffer', bytes: 400_000, limit: 100_000},
])('a chunked body over the limit ($name) is rejected and does not reach the upstream completely', async ({bytes, limit}) => {
	const upstream = await startUpstream(cleanup, (request, response) => {
		request.resume();
		request.once('end', () => {
			response.end('ran');
		});
		request.once('error', () => undefined);
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream], {maximumBodyBytes: limit})]);
	const chunk = 'a'.repeat(10_000);
	const chunks = Array.from({length: bytes / chunk.length}, () => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
	const received = await callRaw(port, `POST /inventory/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
	expect(received === '' || received.startsWith('HTTP/1.1 413 ')).toBe(true);
	expect(received).not.toContain('ran');
});

test('a caller that reads slowly slows down the upstream through backpressure', async () => {
	let written = 0;
	const upstream = await startUpstream(cleanup, (_request, response) => {
		const chunk = Buffer.alloc(65_536);
		const write = () => {
			while (written < 200_000_000 && response.write(chunk)) {
				written += chunk.length;
			}
		};

		response.on('drain', write);
		response.on('error', () => undefined);
		write();
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const socket = net.connect(port, '127.0.0.1');
	socket.write('GET /inventory/a HTTP/1.1\r\nhost: x\r\n\r\n');
	await once(socket, 'readable');
	let before = -1;
	while (written !== before) {
		before = written;
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 200);
		});
	}

	socket.destroy();
	expect(written).toBeLessThan(100_000_000);
});

test('a request whose caller disconnects is cancelled at the upstream', async () => {
	let resolveIsCancelled: (value: boolean) => void = () => undefined;
	const isCancelledAtUpstream = new Promise<boolean>(resolve => {
		resolveIsCancelled = resolve;
	});
	let started: () => void = () => undefined;
	const running = new Promise<void>(resolve => {
		started = resolve;
	});
	const upstream = await startUpstream(cleanup, (_request, response) => {
		started();
		response.once('close', () => {
			resolveIsCancelled(!response.writableFinished);
		});
	});
	const {port, router} = await startEntry(cleanup, [serviceWith([upstream])]);
	const request = http.get({
		host: '127.0.0.1', port, path: '/inventory/a', agent: false,
	});
	request.on('error', () => undefined);
	await running;
	request.destroy();
	expect(await isCancelledAtUpstream).toBe(true);
	while (router.load().inFlight > 0) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setImmediate(resolve);
		});
	}
});

test('the response to a cancelled attempt is not delivered to a later request', async () => {
	const upstream = await startUpstream(cleanup, (request, response) => {
		const wait = request.url === '/slow' ? 150 : 0;
		setTimeout(() => {
			response.end(request.url);
		}, wait);
	}, {slots: 4});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const agent = new http.Agent({keepAlive: true});
	cleanup.add(() => {
		agent.destroy();
	});
	const answers = await Promise.all(Array.from({length: 60}, async (_, index) => {
		const isSlow = index % 3 === 0;
		const path = isSlow ? '/inventory/slow' : `/inventory/${index}`;
		return {path, answer: await call(port, {path, agent, headers: {'x-filbertwell-deadline-ms': isSlow ? '40' : '5000'}})};
	}));
	for (const {path, answer} of answers) {
		if (answer.status === 200) {
			expect(`/inventory${answer.body}`).toBe(path);
		} else {
			expect(answer.headers['x-filbertwell-outcome']).toMatch(/^(?:not-run|in-doubt)$/v);
		}
	}
});

test('closing the server waits for a request in progress', async () => {
	let finish: () => void = () => undefined;
	let started: () => void = () => undefined;
	const running = new Promise<void>(resolve => {
		started = resolve;
	});
	const upstream = await startUpstream(cleanup, (_request, response) => {
		finish = () => {
			response.end('whole');
		};

		started();
	});
	const {port, server} = await startEntry(cleanup, [serviceWith([upstream])]);
	const answer = call(port);
	await running;
	const closed = server.close();
	finish();
	expect(await answer).toMatchObject({status: 200, body: 'whole', isWhole: true});
	await closed;
});

test('a body that arrives too slowly is rejected at the deadline and does not run', async () => {
	let runs = 0;
	const upstream = await startUpstream(cleanup, (_request, response) => {
		runs += 1;
		response.end();
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const received = await callRaw(port, 'POST /inventory/a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\nx-filbertwell-deadline-ms: 100\r\n\r\nab');
	expect(received).toMatch(/^HTTP\/1\.1 408 /v);
	expect(received).toContain('x-filbertwell-outcome: not-run');
	expect(runs).toBe(0);
});
