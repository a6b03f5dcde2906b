/**
 * Caller over raw TCP that detects how its connection ended.
 */
import {connect} from 'node:net';

let nextId = 0;

/** Bytes of one response as text, and how its connection ended. */
export type RawResponse = {
	readonly text: string;
	readonly ending: 'end' | 'reset';
};

/**
 * Sends one request on a connection of its own and reads until the connection ends. Node.js reports a reset that arrives
 * together with data as a normal end; writing nothing tells them apart.
 */
export const readUntilEnd = async (port: number, path = '/a'): Promise<RawResponse> => new Promise(resolve => {
	nextId += 1;
	const chunks: string[] = [];
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	const finish = (ending: RawResponse['ending']) => {
		socket.destroy();
		resolve({text: chunks.join(''), ending});
	};

	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		chunks.push(chunk);
	});
	socket.once('error', () => {
		finish('reset');
	});
	socket.once('end', () => {
		socket.write('', error => {
			finish(error ? 'reset' : 'end');
		});
	});
	socket.write(`GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: raw-${nextId}\r\nConnection: close\r\n\r\n`);
});
