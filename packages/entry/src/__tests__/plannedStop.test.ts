/**
 * Pipelined requests while an entry leaves. Each connection closes after the response that says so.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterEach, expect, test, vi,
} from 'vitest';
import {
	createCleanup, serviceWith, startEntry, startUpstream,
} from './testEntry.js';

const cleanup = createCleanup();
afterEach(async () => cleanup.run());

const order = (key: string) => `POST /inventory/order/1 HTTP/1.1\r\nHost: inventory.test\r\nIdempotency-Key: ${key}\r\nContent-Length: 1\r\n\r\nx`;

/** Starts an entry whose upstream answers after `answerMs`, and connects to it. */
const start = async (answerMs: number) => {
	const keys: string[] = [];
	const upstream = await startUpstream(cleanup, (request, response) => {
		keys.push(request.url ?? '');
		setTimeout(() => {
			response.end('done');
		}, answerMs);
	});
	const {port, stopServing} = await startEntry(cleanup, [serviceWith([upstream])]);
	const socket = connect(port, '127.0.0.1');
	const received = {text: ''};
	socket.on('data', chunk => {
		received.text += chunk.toString('latin1');
	});
	return {
		keys, stopServing, socket, received,
	};
};

/** A request behind the last response of a connection was passed on, and its answer was lost. */
test('a pipelined order behind the last response of its connection is not passed on', async () => {
	const {keys, stopServing, socket, received} = await start(50);
	const ended = once(socket, 'close');
	stopServing();
	socket.write(order('first') + order('second'));
	await ended;
	expect(keys).toHaveLength(1);
	expect(received.text.match(/HTTP\/1\.1 200/gu)).toHaveLength(1);
});

test('pipelined orders that were taken before the stop are all answered', async () => {
	const {keys, stopServing, socket, received} = await start(100);
	const ended = once(socket, 'close');
	socket.write(order('first') + order('second'));
	await vi.waitFor(() => {
		expect(keys).toHaveLength(2);
	});
	stopServing();
	socket.write(order('third') + order('fourth'));
	await ended;
	expect(keys).toHaveLength(3);
	expect(received.text.match(/HTTP\/1\.1 200/gu)).toHaveLength(3);
});
