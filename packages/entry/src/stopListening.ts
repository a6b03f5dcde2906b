/**
 * Stops a server from accepting connections without cutting off callers that have just connected.
 */
import type {Server} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop without a new connection after which none is left. The first may start after its poll for connections. */
const quietTurns = 2;
/** Bound for a caller population that connects faster than connections are accepted. */
const maximumTurns = 2000;

/**
 * Accepts the connections that the operating system has already established, then stops listening. Closing the listening
 * socket at once would reset them, with their requests. Open connections stay open: the `close` method of an HTTP server
 * would also close those whose first request has arrived but has not been read.
 *
 * @param server - The listening server.
 */
export const stopListening = async (server: Server): Promise<void> => {
	let turnsWithoutConnection = 0;
	server.on('connection', () => {
		turnsWithoutConnection = 0;
	});
	for (let turn = 0; turn < maximumTurns && turnsWithoutConnection <= quietTurns; turn++) {
		turnsWithoutConnection += 1;
		await nextTurn(); // eslint-disable-line no-await-in-loop
	}

	TcpServer.prototype.close.call(server);
};
