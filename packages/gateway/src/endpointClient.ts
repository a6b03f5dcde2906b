/**
 * Sends requests to endpoints over pooled connections.
 */
import type {DiscoveredEndpoint, EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {AfterNextPoll} from '@filbertwell/utils/pollBarrier';
import {exchangeOnSocket} from './endpointExchange.js';
import type {EndpointConnectionPool} from './endpointConnectionPool.js';
import type {GatewayHeaders} from './gatewayHeaders.js';
import {createResponseBodyReader, type ResponseBody} from './responseBody.js';
import {createResponseClassifier} from './responseClassifier.js';

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

/** A response of an endpoint whose body is complete or can still be read. */
export type EndpointResponse = {
	readonly status: number;
	readonly statusText: string;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: ResponseBody;
	/** Whether only the close of the connection marks the end of the body, so that a truncated body can't be detected. */
	readonly isCloseDelimited: boolean;
	/** Load report; `undefined` if it is missing or malformed. */
	readonly load: EndpointLoad | undefined;
};

/** Outcome of a send. */
export type SendOutcome =
	/** The endpoint responded. */
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
	/** Returns the time left for the response, in milliseconds; sent to the endpoint as its deadline when the request is written. */
	readonly remainingMs: () => number;
	/** Timeout for opening a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	/** Ends the send, also while the rest of a partial body is being read. */
	readonly signal: AbortSignal;
	/** Called with the connect time if a new connection was opened. */
	readonly onConnected: (connectMs: number) => void;
	/** Called before the request is written. Until then it can't have run. */
	readonly onWrite: () => void;
};

/** HTTP client for endpoints. */
export type EndpointClient = {
	/** Sends a request once. A failure is an outcome, not a rejection. */
	readonly send: (options: SendOptions) => Promise<SendOutcome>;
};

/**
 * Creates a client.
 *
 * @param pool - Pool that provides the connections.
 * @param headers - Header names of the deployment.
 * @param afterNextPoll - Waits until what was received before the call has been read.
 * @returns The client; it doesn't close the pool.
 */
export const createEndpointClient = (pool: EndpointConnectionPool, headers: GatewayHeaders, afterNextPoll: AfterNextPoll): EndpointClient => {
	const classifier = createResponseClassifier(headers);
	const readBody = createResponseBodyReader();

	return {
		async send(options) {
			const {endpoint, request, signal, connectTimeoutMs, onConnected, onWrite} = options;
			// Without an id, a late response to an earlier request can't be told from the response to this one.
			const acquired = await (request.requestId === undefined ? pool.open(endpoint, connectTimeoutMs) : pool.acquire(endpoint, connectTimeoutMs));
			if ('kind' in acquired) {
				return {
					kind: 'not-run', cause: 'unreachable', reason: acquired.reason, load: undefined,
				};
			}

			const {socket, connectMs} = acquired;
			if (connectMs !== undefined) {
				onConnected(connectMs);
				// The caller may have left while the connection was being opened.
				await afterNextPoll();
			}

			if (signal.aborted) {
				pool.release(endpoint, socket, undefined);
				return {kind: 'cancelled', isSent: false};
			}

			if (connectMs !== undefined && (!socket.writable || socket.readableEnded || socket.readableLength > 0)) {
				socket.destroy();
				return {
					kind: 'not-run', cause: 'unreachable', reason: 'the new connection was not usable', load: undefined,
				};
			}

			onWrite();
			return exchangeOnSocket(socket, options, {
				headers,
				classifier,
				readBody,
				onReusable(reusableSocket, keepAliveMs) {
					pool.release(endpoint, reusableSocket, keepAliveMs);
				},
			});
		},
	};
};
