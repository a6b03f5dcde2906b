/**
 * HTTP server for operators and metrics collectors: health, readiness, state, metrics, routing
 * explanations and offered configurations.
 */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {maximumOfferCharacters, parseOffer, type Offer} from '@filbertwell/configuration/offer';
import type {EntryState, Explanation} from '@filbertwell/types/entryState';
import type {SocketAddress} from '@filbertwell/types/place';
import {createByteCollector} from '@filbertwell/utils/byteCollector';
import type {Result} from 'neverthrow';

/** Body of `GET /ready`: whether the process serves, and a reason in plain text. */
export type Readiness = {
	readonly ready: boolean;
	readonly reason: string;
};

/** Query of `GET /explain`: the request whose routing is explained. */
export type ExplanationQuery = {
	readonly service: string;
	/** IP address of the caller. */
	readonly address: string;
	readonly method: string;
	/** Path below the service's prefix. */
	readonly path: string;
};

/** Listening address of the server and the callbacks that produce its responses. */
export type AdminServerOptions = {
	readonly address: SocketAddress;
	readonly readiness: () => Readiness;
	/** Body of `GET /state`; may have more fields than `EntryState`. */
	readonly state: () => EntryState;
	/** Body of `GET /metrics` in the Prometheus text format. */
	readonly exposition: () => Promise<string>;
	/** Explains how a request would be routed; an error is a sentence for the operator. */
	readonly explain: (query: ExplanationQuery) => Result<Explanation, string>;
	/** Accepts a change that an operator's command line has committed; returns whether it is newer than the configuration in force. */
	readonly acceptOffer: (offer: Offer) => boolean;
};

/** A running server. */
export type AdminServer = {
	readonly address: SocketAddress;
	/** Closes all connections at once and stops listening. */
	readonly close: () => Promise<void>;
};

const expositionContentType = 'text/plain; version=0.0.4; charset=utf-8';
const paths = ['/health', '/ready', '/state', '/metrics', '/explain'];

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};

/** Four bytes for each character of an offer's parts leave room for JSON escapes. */
const maximumOfferBytes = 4 * maximumOfferCharacters;

const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<string | undefined> => {
	const collector = createByteCollector();
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		if (collector.length() + chunk.length > maximumBytes) {
			return undefined;
		}

		collector.append(chunk);
	}

	return collector.text();
};

const baseUrl = 'http://admin';

/** Treats a request target that is not a valid URL as the path `/`. */
const parseUrl = (request: IncomingMessage): URL => URL.canParse(request.url ?? '/', baseUrl)
	? new URL(request.url ?? '/', baseUrl)
	: new URL(baseUrl);

/**
 * Starts the server.
 *
 * @param options - Listening address and the callbacks that produce the responses.
 * @returns The server, once it listens; rejects if it can't listen on the address.
 */
export const createAdminServer = async (options: AdminServerOptions): Promise<AdminServer> => {
	const {address, readiness, state, exposition, explain, acceptOffer} = options;

	const sendExplanation = (query: URLSearchParams, response: ServerResponse): void => {
		const service = query.get('service');
		const callerAddress = query.get('address');
		if (service === null || callerAddress === null) {
			sendJson(response, 400, {problem: 'query parameters "service" and "address" are needed; use /explain?service=NAME&address=IP'});
			return;
		}

		explain({
			service, address: callerAddress, method: query.get('method') ?? 'GET', path: query.get('path') ?? '/',
		}).match(
			explanation => {
				sendJson(response, 200, explanation);
			},
			problem => {
				sendJson(response, 404, {problem});
			},
		);
	};

	const handleOffer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const body = await readBody(request, maximumOfferBytes);
		if (body === undefined) {
			sendJson(response, 413, {problem: `the offer is over ${maximumOfferBytes} bytes; send the head alone, parts come from the platform`});
			return;
		}

		parseOffer(body).match(
			offer => {
				sendJson(response, 202, {taken: acceptOffer(offer)});
			},
			({detail}) => {
				sendJson(response, 400, {problem: `the offer is malformed: ${detail}`});
			},
		);
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {pathname, searchParams} = parseUrl(request);
		if (request.method === 'POST' && pathname === '/configuration/offer') {
			await handleOffer(request, response);
			return;
		}

		request.resume();
		if (request.method !== 'GET' && request.method !== 'HEAD') {
			sendJson(response, 405, {problem: `method "${request.method}" is not answered here; use GET`});
			return;
		}

		switch (pathname) {
			case '/health': {
				sendJson(response, 200, {status: 'running'});
				return;
			}

			case '/ready': {
				const current = readiness();
				sendJson(response, current.ready ? 200 : 503, current);
				return;
			}

			case '/state': {
				sendJson(response, 200, state());
				return;
			}

			case '/metrics': {
				const text = await exposition();
				response.writeHead(200, {'content-type': expositionContentType});
				response.end(text);
				return;
			}

			case '/explain': {
				sendExplanation(searchParams, response);
				return;
			}

			default: {
				sendJson(response, 404, {problem: `path "${pathname}" is unknown; use one of ${paths.join(', ')}`});
			}
		}
	};

	const respond = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handleRequest(request, response);
		} catch {
			// The client closed the connection while the server read the offer.
			response.destroy();
		}
	};

	const server = createServer((request, response) => {
		void respond(request, response);
	});
	server.listen(address.port, address.host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: {host: address.host, port},
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
};
