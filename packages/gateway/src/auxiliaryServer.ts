/**
 * HTTP server for auxiliary GET requests: readiness checks, look-ups and metrics. Requests of callers that have left are
 * not handled, so that an instance short of processor time serves those that still wait.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {SocketAddress} from '@filbertwell/types/place';
import {isDisconnected} from '@filbertwell/utils/disconnected';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';

/** A response with a text body. */
export type TextResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Handles a GET request. */
export type GetHandler = (path: string, query: URLSearchParams) => TextResponse | Promise<TextResponse>;

const keepAliveMs = 30_000;

/**
 * Starts a server that handles GET requests and rejects other methods with status 405.
 *
 * @param address - Address to listen on.
 * @param handler - Produces the response; if it fails, the response has status 500.
 * @param log - Receives a line for each failure of the handler.
 * @returns The server once it is listening; rejects if it can't listen on the address.
 */
export const startAuxiliaryServer = async (address: SocketAddress, handler: GetHandler, log: Logger): Promise<Server> => {
	const handleSafely = async (path: string, query: URLSearchParams): Promise<TextResponse> => {
		try {
			return await handler(path, query);
		} catch (error) {
			log(processEvents.unexpectedError, {path, error: error instanceof Error ? error.stack : String(error)});
			return {status: 500, contentType: 'text/plain', body: 'internal error\n'};
		}
	};

	const server = createServer({keepAliveTimeout: keepAliveMs, noDelay: true}, async (request, response) => {
		request.resume();
		await afterNextPoll();
		if (isDisconnected(request.socket)) {
			return;
		}

		const [path, query] = (request.url ?? '/').split('?', 2);
		const result = request.method === 'GET'
			? await handleSafely(path!, new URLSearchParams(query))
			: {status: 405, contentType: 'text/plain', body: 'only GET is answered here\n'};
		response.on('error', () => undefined);
		response.writeHead(result.status, {'content-type': result.contentType, 'content-length': Buffer.byteLength(result.body)});
		response.end(result.body);
	});
	server.listen(address.port, address.host);
	await once(server, 'listening');
	return server;
};

/**
 * Creates a response with a JSON body.
 *
 * @param status - HTTP status.
 * @param value - Value to encode; must be serializable as JSON.
 * @returns The response.
 */
export const jsonResponse = (status: number, value: unknown): TextResponse => ({status, contentType: 'application/json', body: JSON.stringify(value)});
