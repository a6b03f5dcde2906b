import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import process from 'node:process';
import {expect, test} from 'vitest';
import {stopListening} from '../stopListening.js';

/** Connects and sends a request at once; resolves with what arrives until the connection ends. */
const callOnce = async (port: number): Promise<string> => new Promise(resolve => {
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(text);
	});
	socket.write('GET / HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n');
});

test('connections that are established but not accepted yet are served, and later ones are refused', async () => {
	const server = createServer((_, response) => {
		response.end('fine');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const answers = Array.from({length: 50}, async () => callOnce(port));
	// The operating system establishes the connections in this turn; the server accepts them in later ones.
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	await stopListening(server);
	const received = await Promise.all(answers);
	expect(received.filter(text => text.endsWith('fine'))).toHaveLength(50);
	expect(await callOnce(port)).toBe('');
});
