/**
 * A faulty upstream that sends an answer once more on a kept connection, or bytes without end.
 */
import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Attempt} from '@filbertwell/routing/attempt';
import {requestIdHeader, upstreamOutcomeHeader} from '@filbertwell/types/headers';
import type {Endpoint} from '@filbertwell/types/intent';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {createUpstreamClient, type UpstreamClient} from '../upstreamClient.js';

const servers: Server[] = [];
const clients: UpstreamClient[] = [];

afterEach(() => {
	for (const client of clients.splice(0)) {
		client.close();
	}

	for (const server of servers.splice(0)) {
		server.close();
	}
});

const answerTo = (id: string): string => `HTTP/1.1 200 OK\r\n${requestIdHeader}: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;

/** Starts an upstream that calls `respond` with the number of each request on its connection, and a client. */
const start = async (respond: (socket: Socket, number: number) => void, timeoutMs = 10_000) => {
	let connections = 0;
	let closedConnections = 0;
	const server = createServer(socket => {
		let number = 0;
		connections += 1;
		socket.once('close', () => {
			closedConnections += 1;
		});
		socket.on('error', () => undefined);
		socket.on('data', () => {
			number += 1;
			respond(socket, number);
		});
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const endpoint: Endpoint = {
		id: 'upstream-1', host: '127.0.0.1', port, availabilityZone: 'south-a', slots: 4,
	};
	const client = createUpstreamClient();
	clients.push(client);
	const attempt: Attempt = {
		number: 1, cause: 'first', remainingMs: timeoutMs, signal: AbortSignal.timeout(timeoutMs), countBytes: () => undefined,
	};
	const sendAttempt = async (id: string, signal = attempt.signal) => client.send(endpoint, {...attempt, signal}, {
		method: 'GET', path: '/', headers: ['host', 'shop.example', requestIdHeader, id], body: {kind: 'none'}, mayReuseConnection: true,
	});
	/** Sends a request with an id and returns the body of its answer, or the kind of the failure. */
	const send = async (id: string): Promise<string> => {
		const outcome = await sendAttempt(id);
		if (outcome.kind !== 'answered') {
			return outcome.kind;
		}

		const {message} = outcome.answer;
		let text = '';
		message.on('data', (chunk: Uint8Array) => {
			text += String.fromCodePoint(...chunk);
		});
		message.resume();
		await once(message, 'end');
		return text;
	};

	return {
		send, sendAttempt, connections: () => connections, closedConnections: () => closedConnections,
	};
};

test('a second copy of an answer, sent when the connection is in use again, is not taken for the next answer', async () => {
	const {send} = await start((socket, number) => {
		socket.write(number === 1 ? answerTo('a') : `${answerTo('a')}${answerTo('b')}`);
	});
	expect(await send('a')).toBe('a');
	expect(await send('b')).toBe('failed');
});

test('a second copy of an answer, sent while the connection is idle, closes it', async () => {
	let copies = 0;
	const {send, connections} = await start((socket, number) => {
		socket.write(answerTo(number === 1 ? 'a' : 'b'));
		setImmediate(() => {
			socket.write(answerTo('a'));
			copies += 1;
		});
	});
	expect(await send('a')).toBe('a');
	await vi.waitFor(() => {
		expect(copies).toBe(1);
	});
	await vi.waitFor(async () => {
		expect(await send('a')).toBe('a');
		expect(connections()).toBeGreaterThan(1);
	});
});

describe('an attempt on a kept connection', () => {
	/** Starts an upstream that records the numbers of requests; the first answer leaves a connection to reuse. */
	const startWithKeptConnection = async () => {
		const received: number[] = [];
		const sockets: Socket[] = [];
		const upstream = await start((socket, number) => {
			received.push(number);
			sockets.push(socket);
			socket.write(answerTo('a'));
		});
		expect(await upstream.send('a')).toBe('a');
		return {...upstream, received, socket: sockets[0]!};
	};

	// Retries, hedges and probes are attempts too; they were written although their caller had just left.
	test('that is cancelled before the event loop has polled is not written', async () => {
		const {sendAttempt, received} = await startWithKeptConnection();
		const cancellation = new AbortController();
		const outcome = sendAttempt('b', cancellation.signal);
		setImmediate(() => {
			cancellation.abort();
		});
		expect(await outcome).toEqual({kind: 'cancelled', written: false});
		await delay(50);
		expect(received).toEqual([1]);
	});

	// The request was written to the closed connection, and it was unknown whether it had run.
	test('has not run if the upstream had closed the connection before', async () => {
		const {sendAttempt, received, socket} = await startWithKeptConnection();
		socket.destroy();
		const outcome = await sendAttempt('b');
		expect(outcome).toMatchObject({kind: 'not-run', cause: 'refused'});
		expect(received).toEqual([1]);
	});
});

describe('bytes without end', () => {
	const endlessly = (beginning: string, piece: string) => (socket: Socket) => {
		const write = () => {
			while (!socket.destroyed && socket.write(piece)) {
				// Writes until the buffer is full.
			}
		};

		socket.on('drain', write);
		socket.write(beginning);
		write();
	};

	test.each([
		['that are no answer', '', 'x'.repeat(1000), 'failed'],
		['in one header', 'HTTP/1.1 200 OK\r\nX-More: ', 'x'.repeat(1000), 'failed'],
		['in many headers', 'HTTP/1.1 200 OK\r\n', `X-More: ${'x'.repeat(500)}\r\n`, 'failed'],
		// Many small writes would keep this process from reading until the deadline.
		['in interim answers', '', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(20), 'failed'],
	])('%s end the attempt as one that may have run, and the connection is closed', async (_, beginning, piece, kind) => {
		const {send, closedConnections} = await start(endlessly(beginning, piece), 500);
		expect(await send('a')).toBe(kind);
		await vi.waitFor(() => {
			expect(closedConnections()).toBe(1);
		});
	});

	test('in interim answers end the attempt long before its deadline', async () => {
		const {send, closedConnections} = await start(endlessly('', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'), 60_000);
		expect(await send('a')).toBe('failed');
		await vi.waitFor(() => {
			expect(closedConnections()).toBe(1);
		});
	});

	test('in the body of an answer are cut off at the deadline', async () => {
		const {send, closedConnections} = await start(endlessly(`HTTP/1.1 200 OK\r\n${requestIdHeader}: a\r\nTransfer-Encoding: chunked\r\n\r\n`, `3e8\r\n${'x'.repeat(1000)}\r\n`), 300);
		void send('a');
		await vi.waitFor(() => {
			expect(closedConnections()).toBe(1);
		}, {timeout: 3000});
	});

	/** The body of a refusal is not needed, so that no deadline would end it. */
	test.each([
		['quickly', 1000, (socket: Socket) => {
			endlessly('', `3e8\r\n${'x'.repeat(1000)}\r\n`)(socket);
		}],
		['slowly', 3000, (socket: Socket) => {
			const timer = setInterval(() => socket.write('1\r\nx\r\n'), 20);
			socket.once('close', () => {
				clearInterval(timer);
			});
		}],
	])('in the body of a refusal, sent %s, close the connection', async (_, timeoutMs, writeBody) => {
		const {send, closedConnections} = await start(socket => {
			socket.write(`HTTP/1.1 503 Busy\r\n${requestIdHeader}: a\r\n${upstreamOutcomeHeader}: not-run\r\nTransfer-Encoding: chunked\r\n\r\n`);
			writeBody(socket);
		}, 60_000);
		expect(await send('a')).toBe('not-run');
		await vi.waitFor(() => {
			expect(closedConnections()).toBe(1);
		}, {timeout: timeoutMs});
	});
});

/** Callers got a 200 with an empty or short body, framed as whole. */
test.each([
	['a length', 'Content-Length: 10\r\n'],
	['chunks', 'Transfer-Encoding: chunked\r\n'],
	['neither length nor chunks', ''],
])('a head with %s that ends at any byte is no answer', async (_, lengthHeader) => {
	const head = `HTTP/1.1 200 OK\r\n${requestIdHeader}: a\r\n${lengthHeader}X-More: 1\r\n\r\n`;
	let length = 0;
	const {send} = await start(socket => {
		socket.end(head.slice(0, length));
	});
	const outcomes = new Set<string>();
	for (length = 0; length < head.length; length += 1) {
		outcomes.add(await send('a')); // eslint-disable-line no-await-in-loop
	}

	expect([...outcomes]).toEqual(['failed']);
});
