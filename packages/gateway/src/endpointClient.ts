/**
 * Sends a request to an endpoint and derives from the response whether the request ran.
 */
import {Buffer} from 'node:buffer';
import {
	type Agent, type ClientRequest, type IncomingMessage, request as sendRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import type {DiscoveredEndpoint, EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import {createSingleSocketAgent, type EndpointConnectionPool} from './endpointConnectionPool.js';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** A request to an endpoint. */
export type EndpointRequest = {
	readonly method: string;
	/** Path and query, unchanged from the caller's request. */
	readonly path: string;
	/** Alternating names and values, without hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Request id of the caller; `undefined` if the caller sent none. */
	readonly requestId: string | undefined;
};

/** A complete response of an endpoint. */
export type EndpointResponse = {
	readonly status: number;
	readonly statusText: string;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	/** Whether the response carries the stamp header. */
	readonly isStamped: boolean;
	/** Whether only the close of the connection marks the end of the body, so that a truncated body can't be detected. */
	readonly isCloseDelimited: boolean;
	/** Load report; `undefined` if it is missing or malformed. */
	readonly load: EndpointLoad | undefined;
};

/** Outcome of a send. */
export type SendOutcome =
	/** The endpoint responded completely. */
	| {readonly kind: 'answered'; readonly response: EndpointResponse}
	/** The endpoint did not run the request. `misdirected`: another endpoint now uses the address. */
	| {readonly kind: 'not-run'; readonly cause: 'refused' | 'misdirected' | 'unreachable'; readonly reason: string; readonly load: EndpointLoad | undefined}
	/** The send failed after a connection was open; the request may have run. */
	| {readonly kind: 'failed'; readonly reason: string}
	/** The signal aborted the send. If `isSent` is true, the request may have run. */
	| {readonly kind: 'cancelled'; readonly isSent: boolean};

/** Parameters of one send. */
export type SendOptions = {
	readonly endpoint: DiscoveredEndpoint;
	readonly request: EndpointRequest;
	/** Time left for the response, in milliseconds; sent to the endpoint as its deadline. */
	readonly remainingMs: number;
	/** Timeout for opening a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	readonly signal: AbortSignal;
	/** Called with the connect time if a new connection was opened. */
	readonly onConnected: (connectMs: number) => void;
};

/** HTTP client for endpoints. */
export type EndpointClient = {
	/** Sends a request once. A failure is an outcome, not a rejection. */
	readonly send: (options: SendOptions) => Promise<SendOutcome>;
};

const maximumHeaderBytes = 65_536;
/** Responses are buffered completely before they are forwarded; larger ones are rejected. */
const maximumResponseBytes = 32 * 1024 * 1024;
/** Statuses that, together with the not-run header, state that the endpoint did not run the request. */
const notRunStatuses = new Set([400, 421, 429, 503]);
const millisecondsPerSecond = 1000;

const hasBody = (status: number): boolean => status !== 204 && status !== 304;

const headerText = (message: IncomingMessage, name: string): string | undefined => {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const keepAliveMsOf = (message: IncomingMessage): number | undefined => {
	const seconds = /timeout=(?<seconds>\d+)/iu.exec(headerText(message, 'keep-alive') ?? '')?.groups?.seconds;
	return seconds === undefined ? undefined : Number(seconds) * millisecondsPerSecond;
};

/**
 * Creates a client.
 *
 * @param pool - Pool that provides the connections.
 * @param headers - Header names of the deployment.
 * @returns The client; it doesn't close the pool.
 */
export const createEndpointClient = (pool: EndpointConnectionPool, headers: GatewayHeaders): EndpointClient => {
	const loadOf = (message: IncomingMessage): EndpointLoad | undefined => {
		const text = headerText(message, headers.load);
		return text === undefined ? undefined : headers.decodeLoad(text);
	};

	/** Why a response must not be used for this request; `undefined` if it may be. */
	const rejectionReason = (message: IncomingMessage, requestId: string | undefined): string | undefined => {
		const echoedId = headerText(message, headers.requestId);
		if (echoedId !== undefined && requestId !== undefined && echoedId !== requestId) {
			return `it answers request ${echoedId}`;
		}

		const isSuccess = message.statusCode! >= 200 && message.statusCode! < 300;
		if (isSuccess && headerText(message, headers.stamp) === undefined) {
			return 'it has no stamp';
		}

		return headerText(message, 'content-encoding') === undefined ? undefined : 'its body is encoded';
	};

	const outcomeOf = (message: IncomingMessage, body: Uint8Array): SendOutcome => {
		const status = message.statusCode!;
		const load = loadOf(message);
		const isNotRun = status === 421 || (headerText(message, headers.notRun) !== undefined && notRunStatuses.has(status));
		if (isNotRun) {
			return {
				kind: 'not-run', cause: status === 421 ? 'misdirected' : 'refused', reason: `status ${status}`, load,
			};
		}

		return {
			kind: 'answered',
			response: {
				status,
				statusText: message.statusMessage ?? '',
				rawHeaders: message.rawHeaders,
				body,
				isStamped: headerText(message, headers.stamp) !== undefined,
				isCloseDelimited: hasBody(status) && message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined,
				load,
			},
		};
	};

	const exchange = async (socket: Socket, {endpoint, request, remainingMs, signal}: SendOptions): Promise<SendOutcome> => new Promise(resolve => {
		let isSettled = false;
		let keepAliveMs: number | undefined;

		const settle = (outcome: SendOutcome, isReusable: boolean) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			signal.removeEventListener('abort', onAbort);
			if (!isReusable) {
				socket.destroy();
			}

			resolve(outcome);
		};

		const fail = (reason: string) => {
			settle({kind: 'failed', reason}, false);
		};

		const onAbort = () => {
			settle({kind: 'cancelled', isSent: true}, false);
		};

		const readResponse = (message: IncomingMessage) => {
			const rejection = rejectionReason(message, request.requestId);
			if (rejection !== undefined) {
				message.on('error', () => undefined);
				fail(`the answer can't be used: ${rejection}`);
				return;
			}

			keepAliveMs = keepAliveMsOf(message);
			const chunks: Uint8Array[] = [];
			let bytes = 0;
			message.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > maximumResponseBytes) {
					fail(`the answer is over ${maximumResponseBytes} bytes`);
				}
			});
			message.once('end', () => {
				if (message.complete) {
					settle(outcomeOf(message, Buffer.concat(chunks, bytes)), true);
				} else {
					fail('the answer ended early');
				}
			});
			message.once('error', error => {
				fail(`the answer broke off: ${error.message}`);
			});
			message.once('close', () => {
				fail('the answer broke off');
			});
		};

		const onSocketFree = () => {
			if (isSettled && !signal.aborted) {
				pool.release(endpoint, socket, keepAliveMs);
			} else {
				socket.destroy();
			}
		};

		socket.once('free', onSocketFree);
		signal.addEventListener('abort', onAbort);
		const outgoing = sendRequest({
			host: endpoint.host,
			port: endpoint.port,
			method: request.method,
			path: request.path,
			headers: [
				...request.headers,
				headers.deadline,
				String(Math.max(1, Math.floor(remainingMs))),
				headers.expectedEndpoint,
				endpoint.id,
			] as unknown as Record<string, string>,
			agent: createSingleSocketAgent(socket) as unknown as Agent,
			maxHeaderSize: maximumHeaderBytes,
			setHost: false,
		});
		outgoing.on('response', readResponse);
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			fail(error.code ?? error.message);
		});
		outgoing.once('close', () => {
			// The `end` event of a complete response may still be pending.
			setImmediate(() => {
				fail('the connection closed without an answer');
			});
		});
		outgoing.end(request.body.length > 0 ? request.body : undefined);
	});

	return {
		async send(options) {
			const {endpoint, signal, connectTimeoutMs, onConnected} = options;
			const acquired = await pool.acquire(endpoint, connectTimeoutMs);
			if ('kind' in acquired) {
				return {
					kind: 'not-run', cause: 'unreachable', reason: acquired.reason, load: undefined,
				};
			}

			if (acquired.connectMs !== undefined) {
				onConnected(acquired.connectMs);
			}

			if (signal.aborted) {
				pool.release(endpoint, acquired.socket, undefined);
				return {kind: 'cancelled', isSent: false};
			}

			return exchange(acquired.socket, options);
		},
	};
};
