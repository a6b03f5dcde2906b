/**
 * HTTP server that serves look-ups of entries and no other requests.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {problemResponse, sendLocalResponse, type LocalResponse} from '@filbertwell/entry/localResponse';
import {lookupResponse, normalizeAddress} from '@filbertwell/entry/lookupHandler';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Lookup} from '@filbertwell/steering/lookup';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';

/** Listening address of the server and the sources of its responses. */
export type LookupServerOptions = {
	readonly address: SocketAddress;
	readonly lookup: Lookup;
	/** The intent in force; `undefined` before the first configuration. */
	readonly intent: () => Intent | undefined;
	readonly log: Logger;
};

/** A running server. */
export type LookupServer = {
	/** Listening address, with the port that the system assigned if 0 was configured. */
	readonly address: SocketAddress;
	/** Stops listening, closes idle connections and resolves when the other connections have ended. */
	readonly close: () => Promise<void>;
};

const requestTimeoutMs = 10_000;
const maximumConnections = 10_000;
const baseUrl = 'http://lookup';

/**
 * Starts the server.
 *
 * @param options - Listening address and the sources of the responses.
 * @returns The server, once it listens; rejects if it can't listen on the address.
 */
export const createLookupServer = async ({address, lookup, intent, log}: LookupServerOptions): Promise<LookupServer> => {
	const respond = (method: string | undefined, target: string, callerAddress: string): LocalResponse => {
		const current = intent();
		if (current === undefined) {
			return problemResponse(503, 'not-run', 'notReady', 'no configuration is in force yet; use another process');
		}

		const url = URL.canParse(target, baseUrl) ? new URL(target, baseUrl) : undefined;
		return method === 'GET' && url?.pathname === '/lookup'
			? lookupResponse(
				lookup.answer,
				url.searchParams,
				callerAddress,
				current.services.map(({name}) => name),
			)
			: problemResponse(404, 'invalid', 'unknownPath', 'only look-ups are answered here; use GET /lookup?service=NAME');
	};

	const respondSafely = (method: string | undefined, target: string, callerAddress: string): LocalResponse => {
		try {
			return respond(method, target, callerAddress);
		} catch (error) {
			log(processEvents.unexpectedError, {target, error: error instanceof Error ? error.stack : String(error)});
			return problemResponse(500, 'invalid', 'internalError', 'the look-up failed; see the log of the process');
		}
	};

	const server = createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs}, (request, response) => {
		request.resume();
		sendLocalResponse(response, respondSafely(request.method, request.url ?? '/', normalizeAddress(request.socket.remoteAddress ?? '')));
	});
	server.maxConnections = maximumConnections;
	server.listen(address.port, address.host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: {host: address.host, port},
		async close() {
			server.close();
			server.closeIdleConnections();
			await once(server, 'close');
		},
	};
};
