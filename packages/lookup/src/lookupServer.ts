/**
 * HTTP server for callers that only look up entries.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {problemResponse, sendLocalResponse, type LocalResponse} from '@filbertwell/entry/localResponse';
import {lookupResponse, normalizeAddress} from '@filbertwell/entry/lookupHandler';
import type {Lookup} from '@filbertwell/steering/lookup';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';

/** What the server answers from. */
export type LookupServerOptions = {
	readonly address: SocketAddress;
	readonly lookup: Lookup;
	/** The intent in force; `undefined` before the first. */
	readonly intent: () => Intent | undefined;
};

/** A running server. */
export type LookupServer = {
	readonly address: SocketAddress;
	/** Stops listening and lets answers in progress end. */
	readonly close: () => Promise<void>;
};

const requestTimeoutMs = 10_000;
const maximumConnections = 10_000;
const baseUrl = 'http://lookup';

/**
 * Starts the server.
 *
 * @param options - Address and what to answer from.
 * @returns The server, once it listens; rejects where the address can't be listened on.
 */
export const createLookupServer = async ({address, lookup, intent}: LookupServerOptions): Promise<LookupServer> => {
	const answer = (method: string | undefined, target: string, callerAddress: string): LocalResponse => {
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

	const server = createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs}, (request, response) => {
		request.resume();
		sendLocalResponse(response, answer(request.method, request.url ?? '/', normalizeAddress(request.socket.remoteAddress ?? '')));
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
