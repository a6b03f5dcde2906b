/**
 * Tells whether the other side of a connection has left, as far as it has been read.
 */
import type {Socket} from 'node:net';

/**
 * Checks a connection.
 *
 * @param socket - The connection of a caller.
 * @returns Whether the caller has ended or reset it, so that nobody waits for a response.
 */
export const isDisconnected = ({destroyed, readableEnded}: Socket): boolean => destroyed || readableEnded;
