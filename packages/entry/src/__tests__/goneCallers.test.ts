/**
 * Callers that have left before their request is written to an upstream. The close of the connection lay unread behind
 * the request, or was known and ignored, and upstreams ran requests whose answers nobody was waiting for.
 */
import {once} from 'node:events';
import type {RequestListener} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Orders} from '@filbertwell/orders/orders';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, createCleanup, createMemoryOrders, serviceWith, startEntry, startUpstream,
} from './testEntry.js';

const cleanup = createCleanup();

afterEach(cleanup.run);

const callerCount = 20;
/** Time in which a request that was forwarded would have reached an upstream on loopback. */
const settleMs = 150;

const kinds = ['idempotent', 'atMostOnce'] as const;

type Kind = (typeof kinds)[number];

const pathOf = (kind: Kind, id: string): string => `/inventory/${kind === 'idempotent' ? 'item' : 'order'}/${id}`;

const requestText = (kind: Kind, id: string, body = 'x') =>
	`POST ${pathOf(kind, id)} HTTP/1.1\r\nHost: inventory.test\r\nIdempotency-Key: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const openConnection = async (port: number): Promise<Socket> => {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
};

/** Starts an entry with one upstream that records the paths of its requests. */
const start = async (respond: RequestListener, slots = 50) => {
	const received: string[] = [];
	const endpoint = await startUpstream(cleanup, (request, response) => {
		received.push(request.url ?? '');
		request.resume();
		respond(request, response);
	}, {slots});
	const submitted: string[] = [];
	const memoryOrders = createMemoryOrders();
	const orders: Orders = {
		...memoryOrders,
		async submit(order) {
			submitted.push(order.key);
			return memoryOrders.submit(order);
		},
		async query(service, tenant, key) {
			submitted.push(key);
			return memoryOrders.query(service, tenant, key);
		},
	};
	const entry = await startEntry(cleanup, [serviceWith([endpoint])], {}, orders);
	return {
		entry, received, submitted, goneReceived: () => received.filter(path => path.includes('gone')),
	};
};

const respondOk: RequestListener = (_request, response) => {
	response.end('fine');
};

type LeavingCaller = {
	readonly open: (port: number) => Promise<Socket>;
	readonly text: (kind: Kind, id: string) => string;
	readonly leave: (socket: Socket) => void;
};

const close = (socket: Socket) => {
	socket.destroy();
};

const openKeptConnection = async (port: number): Promise<Socket> => {
	const socket = await openConnection(port);
	socket.write(requestText('idempotent', 'kept'));
	await once(socket, 'data');
	return socket;
};

const leavingCallers: ReadonlyArray<readonly [string, LeavingCaller]> = [
	['on a new connection', {open: openConnection, text: requestText, leave: close}],
	['on a kept connection', {open: openKeptConnection, text: requestText, leave: close}],
	['with a body', {open: openConnection, text: (kind, id) => requestText(kind, id, 'x'.repeat(kind === 'idempotent' ? 20_000 : 100_000)), leave: close}],
	['with two pipelined requests', {open: openConnection, text: (kind, id) => `${requestText(kind, id)}${requestText(kind, `${id}-second`)}`, leave: close}],
	[
		'that resets the connection', {
			open: openConnection, text: requestText, leave(socket) {
				socket.resetAndDestroy();
			},
		},
	],
];

/** A large body is streamed, so its head reaches the upstream before the body and the close behind it have been read. */
test('idempotent requests whose large body and close were received before they were read are not completed at an upstream', async () => {
	let begun = 0;
	const completed: string[] = [];
	const {entry} = await start(request => {
		begun += 1;
		request.once('end', () => {
			completed.push(request.url ?? '');
		});
	});
	const sockets = await Promise.all(Array.from({length: callerCount}, async () => openConnection(entry.port)));
	for (const [index, socket] of sockets.entries()) {
		socket.write(requestText('idempotent', `gone-${index}`, 'x'.repeat(100_000)));
		socket.destroy();
	}

	await vi.waitFor(() => {
		expect(entry.server.inProgress()).toBe(0);
	});
	await delay(settleMs);
	expect(begun).toBeGreaterThan(0);
	expect(completed).toEqual([]);
});

describe.each(kinds)('%s requests', kind => {
	test.each(leavingCallers)('whose close was received before they were read reach no upstream: a caller %s', async (_, {open, text, leave}) => {
		const {entry, goneReceived, submitted} = await start(respondOk);
		const sockets = await Promise.all(Array.from({length: callerCount}, async () => open(entry.port)));
		// Writing and closing in one turn puts both into the receive buffer before the server reads either.
		for (const [index, socket] of sockets.entries()) {
			socket.write(text(kind, `gone-${index}`));
			leave(socket);
		}

		expect(await call(entry.port)).toMatchObject({status: 200});
		await delay(settleMs);
		expect(goneReceived()).toEqual([]);
		expect(submitted).toEqual([]);
		expect(entry.server.inProgress()).toBe(0);
	});

	test('whose caller leaves while they wait for a slot reach no upstream', async () => {
		const answers: Array<() => void> = [];
		const {entry, received} = await start((_request, response) => {
			answers.push(() => {
				response.end('fine');
			});
		}, 1);
		const sockets = await Promise.all(['first', 'gone'].map(async () => openConnection(entry.port)));
		sockets[0]!.write(requestText(kind, 'first'));
		await vi.waitFor(() => {
			expect(answers).toHaveLength(1);
		});
		sockets[1]!.write(requestText(kind, 'gone'));
		await vi.waitFor(() => {
			expect(entry.router.load().queued).toBe(1);
		});
		sockets[1]!.destroy();
		await vi.waitFor(() => {
			expect(entry.router.load().queued).toBe(0);
		});
		answers[0]!();
		await once(sockets[0]!, 'data');
		await delay(settleMs);
		expect(received).toEqual([kind === 'idempotent' ? '/item/first' : '/order/first']);
	});

	test('are not sent again if the close was received together with the refusal of the upstream', async () => {
		let leave: () => void = () => undefined;
		const {entry, received} = await start((_request, response) => {
			response.writeHead(503, {'x-upstream-outcome': 'not-run'}).end();
			leave();
		});
		for (let round = 0; round < callerCount; round++) {
			const socket = await openConnection(entry.port); // eslint-disable-line no-await-in-loop
			leave = () => {
				close(socket);
			};

			socket.write(requestText(kind, `gone-${round}`));
			await once(socket, 'close'); // eslint-disable-line no-await-in-loop
		}

		await delay(settleMs);
		expect(received).toHaveLength(callerCount);
	});
});

test('status queries whose close was received before they were read do not reach the table', async () => {
	const {entry, submitted} = await start(respondOk);
	const sockets = await Promise.all(Array.from({length: callerCount}, async () => openConnection(entry.port)));
	for (const socket of sockets) {
		socket.write('GET /orders?service=inventory&key=gone HTTP/1.1\r\nHost: inventory.test\r\n\r\n');
		socket.destroy();
	}

	expect(await call(entry.port)).toMatchObject({status: 200});
	await delay(settleMs);
	expect(submitted).toEqual([]);
});

test('an at-most-once request that was written goes on when its caller leaves, and its answer is kept', async () => {
	const answers: Array<() => void> = [];
	let closed = 0;
	const {entry, received} = await start((request, response) => {
		request.socket.once('close', () => {
			closed += 1;
		});
		answers.push(() => {
			response.end('done');
		});
	});
	const socket = await openConnection(entry.port);
	socket.write(requestText('atMostOnce', 'written'));
	await vi.waitFor(() => {
		expect(answers).toHaveLength(1);
	});
	socket.destroy();
	await delay(settleMs);
	expect(closed).toBe(0);
	answers[0]!();
	await vi.waitFor(async () => {
		const resent = await call(entry.port, {
			method: 'POST', path: pathOf('atMostOnce', 'written'), headers: {'idempotency-key': 'written'}, body: 'x',
		});
		expect(resent).toMatchObject({status: 200, body: 'done'});
	});
	expect(received).toEqual(['/order/written']);
});
