import {Agent} from 'node:http';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {exchange, type ExchangeOutcome} from '../httpExchange.js';

let agent: Agent;
let server: Server | undefined;
const sockets = new Set<Socket>();
beforeEach(() => {
	agent = new Agent({keepAlive: true});
});
afterEach(async () => {
	agent.destroy();
	for (const socket of sockets) {
		socket.destroy();
	}

	await new Promise(resolve => {
		server?.close(resolve);
	});
});

const listen = async (onConnection: (socket: Socket) => void): Promise<number> => {
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		onConnection(socket);
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
};

const send = async (port: number, timeoutMs = 10_000): Promise<ExchangeOutcome> => exchange({
	address: {host: '127.0.0.1', port}, agent, timeoutMs, maximumResponseBytes: 1000, request: {method: 'POST', path: '/', body: 'x'},
});

const responses = [
	{name: 'a complete response', reply: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', kind: 'answered'},
	{name: 'a truncated response', reply: 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok', kind: 'lost'},
	{name: 'bytes that are not HTTP', reply: 'hello\r\n\r\n', kind: 'lost'},
	{name: 'no bytes', reply: '', kind: 'lost'},
	{name: 'a response over the size limit', reply: `HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n${'x'.repeat(1001)}`, kind: 'lost'},
];

test.each(responses)('$name is $kind', async ({reply, kind}) => {
	const port = await listen(socket => {
		socket.once('data', () => {
			socket.end(reply);
		});
	});
	const outcome = await send(port);
	expect(outcome.kind).toBe(kind);
});

test('without a connection the request counts as not sent', async () => {
	const port = await listen(() => undefined);
	await new Promise(resolve => {
		server!.close(resolve);
	});
	const outcome = await send(port);
	expect(outcome.kind).toBe('notSent');
});

test('a request without a response is lost after the timeout', async () => {
	const port = await listen(() => undefined);
	expect(await send(port, 50)).toEqual({kind: 'lost', detail: 'no answer within 50 ms'});
});

test('a request counts as lost if the server closes its keep-alive connection without a response', async () => {
	let requests = 0;
	const port = await listen(socket => {
		socket.on('data', () => {
			requests += 1;
			if (requests === 1) {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
			} else {
				socket.destroy();
			}
		});
	});
	await send(port);
	const outcome = await send(port);
	expect(outcome.kind).toBe('lost');
});
