/**
 * Answers requests that the HTTP parser rejects or that arrive too slowly.
 */
import {STATUS_CODES} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {CallerConnections} from './callerConnections.js';

/** Statuses by error code of Node.js; other errors get status 400. */
const statuses: ReadonlyMap<string | undefined, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/**
 * Creates a handler for the `clientError` event of the server.
 *
 * @param connections - Connections with their open requests.
 * @param log - Receives a line for each rejected request.
 * @returns The handler. It closes the connection.
 */
export const createMalformedRequestHandler = (connections: CallerConnections, log: Logger) => (error: NodeJS.ErrnoException, stream: Duplex): void => {
	log(entryEvents.malformedRequest, {code: error.code, detail: error.message});
	// On a connection with an open request, the caller would take this response for the one to the open request.
	const hasOpenRequest = stream instanceof Socket && connections.hasOpenRequest(stream);
	if (!stream.writable || error.code === 'ECONNRESET' || hasOpenRequest) {
		stream.destroy();
		return;
	}

	const status = statuses.get(error.code) ?? 400;
	stream.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]!}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
};
