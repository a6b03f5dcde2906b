/**
 * One send of a request to an endpoint, and what its answer says about whether the request ran.
 */
import {Buffer} from 'node:buffer';
import {
	type Agent, type ClientRequest, type IncomingMessage, request as sendRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import type {DiscoveredEndpoint, EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import {agentOf, type EndpointConnections} from './endpointConnections.js';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** What is sent. */
export type EndpointRequest = {
	readonly method: string;
	/** Path with query, as the caller sent it. */
	readonly path: string;
	/** Names and values in turn, without those of one connection. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly requestId: string | undefined;
};

/** An endpoint's whole answer. */
export type EndpointAnswer = {
	readonly status: number;
	readonly statusText: string;
	/** Names and values in turn, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly isStamped: boolean;
	/** Whether only the end of the connection marks its end: nobody can tell whether it is whole. */
	readonly endsWithConnection: boolean;
	readonly load: EndpointLoad | undefined;
};

/** How a send ended. */
export type SendOutcome =
	/** The endpoint's whole answer. */
	| {readonly kind: 'answered'; readonly answer: EndpointAnswer}
	/** The endpoint did not run it. `misdirected`: another endpoint has the address. */
	| {readonly kind: 'not-run'; readonly cause: 'refused' | 'misdirected' | 'unreachable'; readonly reason: string; readonly load: EndpointLoad | undefined}
	/** It may have run. */
	| {readonly kind: 'failed'; readonly reason: string}
	/** It was ended from this side; `isSent` tells whether it may have run. */
	| {readonly kind: 'cancelled'; readonly isSent: boolean};

/** Parameters of one send. */
export type Send = {
	readonly endpoint: DiscoveredEndpoint;
	readonly request: EndpointRequest;
	/** Milliseconds that the endpoint may take. */
	readonly remainingMs: number;
	/** Longest time to open a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	readonly signal: AbortSignal;
	readonly onConnected: (connectMs: number) => void;
};

/** Client for endpoints. */
export type EndpointClient = {
	readonly send: (send: Send) => Promise<SendOutcome>;
};

const largestHeaderBytes = 65_536;
/** Largest answer that is kept whole before it is passed on. */
const largestAnswerBytes = 32 * 1024 * 1024;
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
 * @param connections - Connections to endpoints.
 * @param headers - Names of headers.
 * @returns The client.
 */
export const createEndpointClient = (connections: EndpointConnections, headers: GatewayHeaders): EndpointClient => {
	const loadOf = (message: IncomingMessage): EndpointLoad | undefined => {
		const text = headerText(message, headers.load);
		return text === undefined ? undefined : headers.decodeLoad(text);
	};

	/** Why an answer can't be the one to this request; `undefined` if it can. */
	const problemOf = (message: IncomingMessage, requestId: string | undefined): string | undefined => {
		const echoed = headerText(message, headers.requestId);
		if (echoed !== undefined && requestId !== undefined && echoed !== requestId) {
			return `it answers request ${echoed}`;
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
			answer: {
				status,
				statusText: message.statusMessage ?? '',
				rawHeaders: message.rawHeaders,
				body,
				isStamped: headerText(message, headers.stamp) !== undefined,
				endsWithConnection: hasBody(status) && message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined,
				load,
			},
		};
	};

	const exchange = async (socket: Socket, {endpoint, request, remainingMs, signal}: Send): Promise<SendOutcome> => new Promise(resolve => {
		let isSettled = false;
		let keepAliveMs: number | undefined;

		const settle = (outcome: SendOutcome, mayKeep: boolean) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			signal.removeEventListener('abort', onAbort);
			if (!mayKeep) {
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

		const readAnswer = (message: IncomingMessage) => {
			const problem = problemOf(message, request.requestId);
			if (problem !== undefined) {
				message.on('error', () => undefined);
				fail(`the answer can't be used: ${problem}`);
				return;
			}

			keepAliveMs = keepAliveMsOf(message);
			const chunks: Uint8Array[] = [];
			let bytes = 0;
			message.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > largestAnswerBytes) {
					fail(`the answer is over ${largestAnswerBytes} bytes`);
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

		const onFree = () => {
			if (isSettled && !signal.aborted) {
				connections.keep(endpoint, socket, keepAliveMs);
			} else {
				socket.destroy();
			}
		};

		socket.once('free', onFree);
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
			agent: agentOf(socket) as unknown as Agent,
			maxHeaderSize: largestHeaderBytes,
			setHost: false,
		});
		outgoing.on('response', readAnswer);
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			fail(error.code ?? error.message);
		});
		outgoing.once('close', () => {
			// A whole answer may still be on its way to the reader at this point.
			setImmediate(() => {
				fail('the connection closed without an answer');
			});
		});
		outgoing.end(request.body.length > 0 ? request.body : undefined);
	});

	return {
		async send(send) {
			const {endpoint, signal, connectTimeoutMs, onConnected} = send;
			const taken = await connections.take(endpoint, connectTimeoutMs);
			if ('kind' in taken) {
				return {
					kind: 'not-run', cause: 'unreachable', reason: taken.reason, load: undefined,
				};
			}

			if (taken.connectMs !== undefined) {
				onConnected(taken.connectMs);
			}

			if (signal.aborted) {
				connections.keep(endpoint, taken.socket, undefined);
				return {kind: 'cancelled', isSent: false};
			}

			return exchange(taken.socket, send);
		},
	};
};
