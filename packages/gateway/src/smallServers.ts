/**
 * Small HTTP servers beside the one for callers: readiness, look-ups and metrics.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {SocketAddress} from '@filbertwell/types/place';

/** An answer of a small server. */
export type SmallAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Answers a GET by its path and query. */
export type SmallHandler = (path: string, query: URLSearchParams) => SmallAnswer | Promise<SmallAnswer>;

const keepAliveMs = 30_000;

/**
 * Starts a server that answers GET requests.
 *
 * @param address - Where to listen.
 * @param handler - Answers; must not reject.
 * @returns The server, once it listens; rejects where the address can't be listened on.
 */
export const startSmallServer = async (address: SocketAddress, handler: SmallHandler): Promise<Server> => {
	const server = createServer({keepAliveTimeout: keepAliveMs, noDelay: true}, async (request, response) => {
		request.resume();
		const [path, query] = (request.url ?? '/').split('?', 2);
		const answer = request.method === 'GET'
			? await handler(path!, new URLSearchParams(query))
			: {status: 405, contentType: 'text/plain', body: 'only GET is answered here\n'};
		response.on('error', () => undefined);
		response.writeHead(answer.status, {'content-type': answer.contentType, 'content-length': Buffer.byteLength(answer.body)});
		response.end(answer.body);
	});
	server.listen(address.port, address.host);
	await once(server, 'listening');
	return server;
};

/**
 * Makes a JSON answer.
 *
 * @param status - HTTP status.
 * @param value - What is encoded.
 * @returns The answer.
 */
export const jsonAnswer = (status: number, value: unknown): SmallAnswer => ({status, contentType: 'application/json', body: JSON.stringify(value)});
