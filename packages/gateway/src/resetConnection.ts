/**
 * Sends and detects resets of connections.
 */
import type {Socket} from 'node:net';

/**
 * Resets a connection and drops the bytes that have not been sent. `resetAndDestroy` alone ends the connection
 * normally before it sends the reset, so the peer would take a body without a length for complete.
 *
 * @param socket - The connection; ignored if it is closed.
 */
export const resetConnection = (socket: Socket): void => {
	if (!socket.destroyed) {
		(socket as {writable: boolean}).writable = false;
		socket.resetAndDestroy();
		socket.destroy();
	}
};

/**
 * Detects a reset that Node.js reports as the normal end of a connection; it does so if the reset arrives together with
 * data. Writing nothing fails on a connection that was reset. Must be called once, before other listeners end the connection.
 *
 * @param socket - Connection that allows half-open use; its property `errored` is set when `end` is emitted after a reset.
 */
export const detectReset = (socket: Socket): void => {
	socket.prependOnceListener('end', () => {
		socket.write('');
	});
};
