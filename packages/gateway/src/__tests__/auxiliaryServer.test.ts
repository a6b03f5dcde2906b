import {once} from 'node:events';
import {type AddressInfo, connect} from 'node:net';
import {expect, test} from 'vitest';
import {startAuxiliaryServer} from '../auxiliaryServer.js';

/** An unexpected error while a look-up was handled would have ended the process. */
test('an unexpected error of a handler is logged and answered with status 500', async () => {
	const logged: string[] = [];
	const server = await startAuxiliaryServer({host: '127.0.0.1', port: 0}, path => {
		if (path === '/broken') {
			throw new Error('unexpected');
		}

		return {status: 200, contentType: 'text/plain', body: 'fine'};
	}, event => {
		logged.push(event.name);
	});
	const {port} = server.address() as AddressInfo;
	const statuses = [];
	for (const path of ['broken', 'other']) {
		const {status} = await fetch(`http://127.0.0.1:${port}/${path}`); // eslint-disable-line no-await-in-loop
		statuses.push(status);
	}

	expect(statuses).toEqual([500, 200]);
	expect(logged).toEqual(['unexpectedError']);
	server.closeAllConnections();
	server.close();
	await once(server, 'close');
});

/** A process short of processor time handled look-ups of callers that had given up. */
test('a request whose close was received before it was read is not handled', async () => {
	const handled: string[] = [];
	const server = await startAuxiliaryServer({host: '127.0.0.1', port: 0}, path => {
		handled.push(path);
		return {status: 200, contentType: 'text/plain', body: 'fine'};
	}, () => undefined);
	const {port} = server.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	socket.write('GET /gone HTTP/1.1\r\nHost: x\r\n\r\n');
	socket.destroy();
	const {status} = await fetch(`http://127.0.0.1:${port}/waiting`);
	expect(status).toBe(200);
	expect(handled).toEqual(['/waiting']);
	server.closeAllConnections();
	server.close();
	await once(server, 'close');
});
