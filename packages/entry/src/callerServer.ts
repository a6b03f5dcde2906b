/**
 * HTTP/1.1 server for callers: look-ups, status queries for at-most-once requests, and requests for services.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Metrics} from '@filbertwell/metrics/metrics';
import type {Orders} from '@filbertwell/orders/orders';
import type {Router} from '@filbertwell/routing/createRouter';
import type {Configuration} from '@filbertwell/types/configuration';
import {outcomeHeader, requestIdHeader, tenantHeader} from '@filbertwell/types/headers';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {isDisconnected} from '@filbertwell/utils/disconnected';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {createCallerPresence} from './callerPresence.js';
import {problemResponse, sendLocalResponse} from './localResponse.js';
import {lookupResponse, type FindEntries, normalizeAddress} from './lookupHandler.js';
import {orderStatusResponse} from './orderStatus.js';
import {defaultTenant, parseRequest} from './requestParser.js';
import {createRequestHandler} from './requestHandler.js';
import {createServiceIndex, type ServiceIndex} from './serviceIndex.js';
import {stopListening} from './stopListening.js';
import type {UpstreamClient} from './upstreamClient.js';

/** Listening address and limits of the caller port. */
export type CallerServerSettings = SocketAddress & {
	/** Maximum number of open connections from callers. */
	readonly maximumConnections: number;
	/** Maximum size of a request's headers in bytes. */
	readonly maximumHeaderBytes: number;
	/** Time limit for receiving a request's headers, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time limit for receiving a whole request, in milliseconds. */
	readonly requestTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly keepAliveTimeoutMs: number;
};

/** Default limits of the caller port. */
export const defaultCallerServerSettings: Omit<CallerServerSettings, keyof SocketAddress> = {
	maximumConnections: 10_000,
	maximumHeaderBytes: 16_384,
	headersTimeoutMs: 10_000,
	requestTimeoutMs: 120_000,
	keepAliveTimeoutMs: 60_000,
};

/** Limits and dependencies of the server. */
export type CallerServerOptions = {
	readonly settings: CallerServerSettings;
	readonly clock: Clock;
	readonly router: Router;
	readonly upstreams: UpstreamClient;
	readonly orders: Orders;
	readonly lookup: FindEntries;
	/** The configuration in force; `undefined` before the first. */
	readonly currentConfiguration: () => Configuration | undefined;
	/** Whether callers should keep using this entry; if not, each connection is closed after its next response. */
	readonly isServing: () => boolean;
	readonly log: Logger;
	readonly metrics: Pick<Metrics, 'recordLatency' | 'increment'>;
};

/** A running server. */
export type CallerServer = {
	/** Listening address, with the port that the system assigned if 0 was configured. */
	readonly address: SocketAddress;
	/** Number of requests whose response is neither complete nor aborted. */
	readonly inProgress: () => number;
	/** Accepts the connections that are already established, stops listening, waits for requests in progress, and resolves when all connections are closed. */
	readonly close: () => Promise<void>;
};

/** How the caller sent a request, and whether it still waits. */
type RequestContext = {
	readonly expectsContinue: boolean;
	/** Aborted when the caller has left. */
	readonly callerLeft: AbortSignal;
};

/** Time in which a caller that has just connected sends its first request. */
const firstRequestMs = 400;

const clientErrorStatuses: ReadonlyMap<string | undefined, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

const rejectMalformedRequest = (error: NodeJS.ErrnoException, socket: Duplex, log: Logger): void => {
	log(entryEvents.malformedRequest, {code: error.code, detail: error.message});
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const status = clientErrorStatuses.get(error.code) ?? 400;
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

const notReady = {...problemResponse(503, 'not-run', 'notReady', 'no configuration is in force yet; use another entry'), retryAfterSeconds: 1};

/**
 * Starts the server.
 *
 * @param options - Limits and dependencies.
 * @returns The server, once it listens; rejects if it can't listen on the address.
 */
export const createCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
	const {settings, orders, lookup, currentConfiguration, isServing, log} = options;
	const handleRequest = createRequestHandler(options);
	const callers = createCallerPresence();
	let cachedIndex: {readonly configuration: Configuration; readonly index: ServiceIndex} | undefined;
	let inProgress = 0;
	let isClosing = false;
	/** Connections that close after the response to a request that has arrived. */
	const closingSockets = new WeakSet<Socket>();

	const serviceIndexFor = (configuration: Configuration): ServiceIndex => {
		if (cachedIndex?.configuration !== configuration) {
			cachedIndex = {configuration, index: createServiceIndex(configuration)};
		}

		return cachedIndex.index;
	};

	const handleLocalPaths = async (request: IncomingMessage, response: ServerResponse, index: ServiceIndex): Promise<boolean> => {
		const url = request.url ?? '/';
		const [path, query] = url.split('?', 2);
		if (request.method !== 'GET' || (path !== '/lookup' && path !== '/orders')) {
			return false;
		}

		const parameters = new URLSearchParams(query);
		if (path === '/lookup') {
			sendLocalResponse(response, lookupResponse(lookup, parameters, normalizeAddress(request.socket.remoteAddress ?? ''), index.names));
			return true;
		}

		// A service may have the path prefix /orders, so only requests with both parameters are status queries.
		if (!parameters.has('service') || !parameters.has('key')) {
			return false;
		}

		await afterNextPoll();
		if (isDisconnected(request.socket)) {
			return true;
		}

		const tenant = request.headers[tenantHeader];
		sendLocalResponse(response, await orderStatusResponse(orders, parameters, typeof tenant === 'string' ? tenant : defaultTenant));
		return true;
	};

	const handle = async (request: IncomingMessage, response: ServerResponse, {expectsContinue, callerLeft}: RequestContext): Promise<void> => {
		const configuration = currentConfiguration();
		if (isClosing || !isServing()) {
			response.shouldKeepAlive = false;
			closingSockets.add(request.socket);
		}

		if (configuration === undefined) {
			sendLocalResponse(response, notReady);
			return;
		}

		const index = serviceIndexFor(configuration);
		if (await handleLocalPaths(request, response, index)) {
			return;
		}

		const parsed = parseRequest(request, index);
		if (parsed.isErr()) {
			sendLocalResponse(response, parsed.error);
			return;
		}

		if (expectsContinue) {
			response.writeContinue();
		}

		await handleRequest(request, response, parsed.value, callerLeft);
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> => {
		try {
			await handle(request, response, context);
		} catch (error) {
			log(processEvents.unexpectedError, {request: String(request.headers[requestIdHeader]), error: error instanceof Error ? error.stack : String(error)});
			request.socket.resetAndDestroy();
		}
	};

	const serve = (request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void => {
		if (closingSockets.has(request.socket)) {
			// Its response could not be sent any more. The caller sends it again on another connection.
			log(entryEvents.requestNotTaken, {request: String(request.headers[requestIdHeader]), path: request.url});
			return;
		}

		inProgress += 1;
		const {left, end} = callers.watch(request.socket);
		let hasEnded = false;
		const onEnded = () => {
			if (!hasEnded) {
				hasEnded = true;
				inProgress -= 1;
				end();
			}
		};

		response.once('close', onEnded);
		// A response that waits for an earlier one on its connection emits no `close`.
		left.addEventListener('abort', onEnded);
		request.on('error', () => undefined);
		void handleSafely(request, response, {expectsContinue, callerLeft: left});
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
	server.on('connection', callers.add);
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		serve(request, response, true);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		rejectMalformedRequest(error, socket, log);
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
			await stopListening(server);
			await delay(firstRequestMs);
			server.closeIdleConnections();
			await closed;
		},
	};
};
