/**
 * HTTP/1.1 server for callers: look-ups, questions after orders, and requests for services.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Metrics} from '@filbertwell/metrics/metrics';
import type {Orders} from '@filbertwell/orders/orders';
import type {Router} from '@filbertwell/routing/createRouter';
import type {Configuration} from '@filbertwell/types/configuration';
import {outcomeHeader, tenantHeader} from '@filbertwell/types/headers';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {problemAnswer, sendOwnAnswer} from './answer.js';
import {answerLookup, type Lookup, plainAddress} from './lookupHandler.js';
import {answerOrderQuestion} from './orderQuestion.js';
import {defaultTenant, parseRequest} from './requestParser.js';
import {createRequestHandler} from './requestHandler.js';
import {createServiceIndex, type ServiceIndex} from './serviceIndex.js';
import type {UpstreamClient} from './upstreamClient.js';

/** Limits of the caller port. */
export type CallerServerSettings = SocketAddress & {
	/** Most connections from callers. */
	readonly maximumConnections: number;
	/** Largest request head in bytes. */
	readonly maximumHeaderBytes: number;
	/** Time for a caller to send a request's head, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time for a caller to send a whole request, in milliseconds. */
	readonly requestTimeoutMs: number;
	/** Time for which an idle connection is kept, in milliseconds. */
	readonly keepAliveTimeoutMs: number;
};

/** Limits for most uses. */
export const defaultCallerServerSettings: Omit<CallerServerSettings, keyof SocketAddress> = {
	maximumConnections: 10_000,
	maximumHeaderBytes: 16_384,
	headersTimeoutMs: 10_000,
	requestTimeoutMs: 120_000,
	keepAliveTimeoutMs: 60_000,
};

/** Parameters of the server. */
export type CallerServerOptions = {
	readonly settings: CallerServerSettings;
	readonly clock: Clock;
	readonly router: Router;
	readonly upstreams: UpstreamClient;
	readonly orders: Orders;
	readonly lookup: Lookup;
	/** The configuration in force; `undefined` before the first. */
	readonly currentConfiguration: () => Configuration | undefined;
	/** Whether callers should keep using this entry; if not, their connections are closed after an answer. */
	readonly isServing: () => boolean;
	readonly log: Logger;
	readonly metrics: Pick<Metrics, 'recordLatency' | 'increment'>;
};

/** A running server. */
export type CallerServer = {
	/** Where it listens. */
	readonly address: SocketAddress;
	/** Requests that have arrived and are not yet answered. */
	readonly inProgress: () => number;
	/** Stops listening, lets requests in progress end, and resolves when all connections are closed. */
	readonly close: () => Promise<void>;
};

const badRequestStatuses: ReadonlyMap<string | undefined, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

const refuseConnection = (error: NodeJS.ErrnoException, socket: Duplex, log: Logger): void => {
	log(entryEvents.malformedRequest, {code: error.code, detail: error.message});
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const status = badRequestStatuses.get(error.code) ?? 400;
	const body = JSON.stringify({problem: 'malformedRequest', detail: `${error.code ?? 'error'}: ${error.message}; the request did not run`});
	const head = [
		`HTTP/1.1 ${status} Bad Request`,
		'content-type: application/json',
		`content-length: ${body.length}`,
		`${outcomeHeader}: invalid`,
		'connection: close',
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
};

const notReady = {...problemAnswer(503, 'not-run', 'notReady', 'no configuration is in force yet; use another entry'), retryAfterSeconds: 1};

/**
 * Starts the server.
 *
 * @param options - Limits, and the parts that it serves from.
 * @returns The server, once it listens.
 */
export const createCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
	const {settings, orders, lookup, currentConfiguration, isServing, log} = options;
	const handleRequest = createRequestHandler(options);
	let indexed: {readonly configuration: Configuration; readonly index: ServiceIndex} | undefined;
	let inProgress = 0;
	let isClosing = false;

	const indexOf = (configuration: Configuration): ServiceIndex => {
		if (indexed?.configuration !== configuration) {
			indexed = {configuration, index: createServiceIndex(configuration)};
		}

		return indexed.index;
	};

	const answerOwnPaths = async (request: IncomingMessage, response: ServerResponse, index: ServiceIndex): Promise<boolean> => {
		const url = request.url ?? '/';
		const [path, query] = url.split('?', 2);
		if (request.method !== 'GET' || (path !== '/lookup' && path !== '/orders')) {
			return false;
		}

		const parameters = new URLSearchParams(query);
		if (path === '/lookup') {
			sendOwnAnswer(response, answerLookup(lookup, parameters, plainAddress(request.socket.remoteAddress ?? ''), index.names));
			return true;
		}

		// A service may have the path prefix /orders; only a question after a key is ours.
		if (!parameters.has('service') || !parameters.has('key')) {
			return false;
		}

		const tenant = request.headers[tenantHeader];
		sendOwnAnswer(response, await answerOrderQuestion(orders, parameters, typeof tenant === 'string' ? tenant : defaultTenant));
		return true;
	};

	const handle = async (request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): Promise<void> => {
		const configuration = currentConfiguration();
		if (isClosing || !isServing()) {
			response.shouldKeepAlive = false;
		}

		if (configuration === undefined) {
			sendOwnAnswer(response, notReady);
			return;
		}

		const index = indexOf(configuration);
		if (await answerOwnPaths(request, response, index)) {
			return;
		}

		const parsed = parseRequest(request, index);
		if (parsed.isErr()) {
			sendOwnAnswer(response, parsed.error);
			return;
		}

		if (expectsContinue) {
			response.writeContinue();
		}

		await handleRequest(request, response, parsed.value);
	};

	const serve = (request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void => {
		inProgress += 1;
		response.once('close', () => {
			inProgress -= 1;
		});
		request.on('error', () => undefined);
		void handle(request, response, expectsContinue);
	};

	const server: Server = createServer({
		maxHeaderSize: settings.maximumHeaderBytes,
		headersTimeout: settings.headersTimeoutMs,
		requestTimeout: settings.requestTimeoutMs,
		keepAliveTimeout: settings.keepAliveTimeoutMs,
		noDelay: true,
	}, (request, response) => {
		serve(request, response, false);
	});
	server.maxConnections = settings.maximumConnections;
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		serve(request, response, true);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		refuseConnection(error, socket, log);
	});
	server.listen(settings.port, settings.host);
	await once(server, 'listening');
	const {address, port} = server.address() as AddressInfo;

	return {
		address: {host: address, port},
		inProgress: () => inProgress,
		async close() {
			isClosing = true;
			const closed = once(server, 'close');
			server.close();
			await closed;
		},
	};
};
