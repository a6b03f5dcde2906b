/**
 * Sends attempts to upstreams over HTTP/1.1.
 *
 * Idempotent requests reuse keep-alive connections. Each at-most-once request opens its own
 * connection: an upstream may close a keep-alive connection while a request is being written to it,
 * and then it is unknown whether the request ran. A failure before a new connection is open proves
 * that nothing was written.
 *
 * A faulty upstream may send an answer once more. Its copy is recognised by the request id, which upstreams should echo,
 * or by arriving while the connection is idle; the connection is then closed.
 */
import {type Buffer} from 'node:buffer';
import {
	Agent, type ClientRequest, type IncomingMessage, request as sendRequest,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Attempt, AttemptOutcome, Completion} from '@filbertwell/routing/attempt';
import {
	deadlineHeader, loadHeader, requestIdHeader, upstreamOutcomeHeader,
} from '@filbertwell/types/headers';
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {discardBody} from './discardBody.js';
import {headerBytes} from './headerBytes.js';
import {createLoadReportParser} from './loadReportParser.js';
import {responseHeadProblem} from './messageHead.js';
import {type UpstreamBody, writeBody} from './upstreamBody.js';

/** A request for an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values, without the hop-by-hop headers of the caller's connection. */
	readonly headers: readonly string[];
	readonly body: UpstreamBody;
	/** Whether the request may be sent on a keep-alive connection. */
	readonly mayReuseConnection: boolean;
	/** Called before the first byte is written. Until then the request can't have run. */
	readonly onWrite?: () => void;
};

/** An upstream's response whose body has not been read. */
export type UpstreamResponse = {
	readonly message: IncomingMessage;
	/** Reports how reading the body ended; only the first call has an effect. */
	readonly complete: (completion: Completion) => void;
};

/** HTTP client for upstreams. */
export type UpstreamClient = {
	/** Sends one attempt; resolves when the response's headers have arrived or the attempt has failed; never rejects. */
	readonly send: (endpoint: Endpoint, attempt: Attempt, request: UpstreamRequest) => Promise<AttemptOutcome<UpstreamResponse>>;
	/** Fetches a load report; `undefined` if none arrives in time or the report is malformed. */
	readonly fetchReport: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	/** Destroys all connections. */
	readonly close: () => void;
};

const defaultConnectionsPerEndpoint = 64;
/** Below 5 s, the shortest idle timeout that is common among upstreams. */
const idleConnectionTimeoutMs = 4000;
const connectTimeoutMs = 1000;
const reportTimeoutMs = 800;
const maximumReportBytes = 4096;
const maximumResponseHeaderBytes = 32_768;
/** Interim responses (1xx) accepted before the final one; a faulty upstream could send them without end. */
const maximumInterimResponses = 16;

const firstHeaderValue = (message: IncomingMessage, name: string): string | undefined => {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const headerValueOf = (headers: readonly string[], name: string): string | undefined => {
	const index = headers.findIndex((value, position) => position % 2 === 0 && value.toLowerCase() === name);
	return index === -1 ? undefined : headers[index + 1];
};

/** Closes an idle connection on which bytes arrive, because they belong to no request. */
function closeOnData(this: Socket) {
	this.destroy();
}

const formatError = (endpoint: Endpoint, error: NodeJS.ErrnoException): string => `${endpoint.id}: ${error.code ?? error.message}`;

/**
 * Creates a client with its own pool of keep-alive connections.
 *
 * @param connectionsPerEndpoint - Maximum number of keep-alive connections to each endpoint.
 * @returns The client.
 */
export const createUpstreamClient = (connectionsPerEndpoint = defaultConnectionsPerEndpoint): UpstreamClient => {
	const keepAliveAgent = new Agent({
		keepAlive: true, maxSockets: connectionsPerEndpoint, maxFreeSockets: connectionsPerEndpoint, timeout: idleConnectionTimeoutMs, scheduling: 'lifo',
	});
	keepAliveAgent.on('free', (socket: Socket) => {
		socket.on('data', closeOnData);
	});
	const singleUseAgent = new Agent({keepAlive: false});
	const parseLoadReport = createLoadReportParser();

	const openRequest = (endpoint: Endpoint, attempt: Attempt, {method, path, headers, mayReuseConnection}: UpstreamRequest): ClientRequest => sendRequest({
		host: endpoint.host,
		port: endpoint.port,
		method,
		path,
		headers: [...headers, deadlineHeader, String(Math.max(1, Math.floor(attempt.remainingMs)))] as unknown as Record<string, string>,
		agent: mayReuseConnection ? keepAliveAgent : singleUseAgent,
		maxHeaderSize: maximumResponseHeaderBytes,
		setHost: false,
	});

	const send: UpstreamClient['send'] = async (endpoint, attempt, request) => new Promise(resolve => {
		const {signal, countBytes} = attempt;
		if (signal.aborted) {
			resolve({kind: 'cancelled', written: false});
			return;
		}

		let outgoing: ClientRequest;
		try {
			outgoing = openRequest(endpoint, attempt, request);
		} catch (error) {
			// Node.js throws if the head can't be encoded; nothing has been written then.
			resolve({
				kind: 'not-run', cause: 'refused', reason: `the request can't be encoded: ${error instanceof Error ? error.message : String(error)}`, report: undefined,
			});
			return;
		}

		let message: IncomingMessage | undefined;
		let isConnected = false;
		/** Whether the request may have been written, and so may have run. */
		let isWritten = false;
		let interimResponses = 0;
		let complete: (completion: Completion) => void = () => undefined;

		const onAbort = () => {
			resolve({kind: 'cancelled', written: isWritten});
			complete('cancelled');
			message?.destroy();
			outgoing.destroy();
		};

		/** Writes the request unless it was cancelled; the caller may have left while it waited for the connection. */
		const onConnected = async (socket: Socket) => {
			isConnected = true;
			await afterNextPoll();
			if (signal.aborted || outgoing.destroyed) {
				return;
			}

			socket.off('data', closeOnData);
			isWritten = true;
			request.onWrite?.();
			countBytes(headerBytes(request.headers), 0);
			writeBody(outgoing, request.body, countBytes);
		};

		const connectTimer = setTimeout(() => {
			if (!isConnected) {
				outgoing.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
			}
		}, connectTimeoutMs);

		const cleanUp = () => {
			clearTimeout(connectTimer);
			signal.removeEventListener('abort', onAbort);
		};

		/** A connection that fails before the request was written may be an idle one that the upstream has just closed. */
		const failureOf = (reason: string): AttemptOutcome<UpstreamResponse> => isWritten
			? {kind: 'failed', reason}
			: {
				kind: 'not-run', cause: isConnected ? 'refused' : 'unreachable', reason, report: undefined,
			};

		const toOutcome = (incoming: IncomingMessage): AttemptOutcome<UpstreamResponse> => {
			const reportText = firstHeaderValue(incoming, loadHeader);
			const report = reportText === undefined ? undefined : parseLoadReport(reportText);
			if (firstHeaderValue(incoming, upstreamOutcomeHeader) === 'not-run') {
				discardBody(incoming);
				cleanUp();
				return {
					kind: 'not-run', cause: 'refused', reason: `${endpoint.id}: refused before running`, report,
				};
			}

			const completion = new Promise<Completion>(resolve => {
				complete = result => {
					cleanUp();
					resolve(result);
				};
			});
			incoming.on('data', (chunk: Uint8Array) => {
				countBytes(0, chunk.length);
			});
			incoming.pause();
			return {
				kind: 'answered', status: incoming.statusCode ?? 0, answer: {message: incoming, complete}, report, completion,
			};
		};

		signal.addEventListener('abort', onAbort);
		outgoing.once('socket', socket => {
			if (socket.connecting) {
				socket.once('connect', () => {
					void onConnected(socket);
				});
			} else {
				void onConnected(socket);
			}
		});
		outgoing.on('information', () => {
			interimResponses += 1;
			if (interimResponses > maximumInterimResponses) {
				outgoing.destroy(new Error(`over ${maximumInterimResponses} interim responses`));
			}
		});
		outgoing.once('response', incoming => {
			message = incoming;
			clearTimeout(connectTimer);
			countBytes(0, headerBytes(incoming.rawHeaders));
			const echoedId = firstHeaderValue(incoming, requestIdHeader);
			const isForeign = echoedId !== undefined && echoedId !== headerValueOf(request.headers, requestIdHeader);
			const problem = isForeign ? `it answers request ${echoedId}` : responseHeadProblem(incoming);
			if (problem !== undefined || !isWritten) {
				outgoing.destroy(new Error(problem ?? 'an answer arrived before the request was written'));
				return;
			}

			resolve(toOutcome(incoming));
		});
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			cleanUp();
			resolve(failureOf(formatError(endpoint, error)));
		});
		outgoing.once('close', () => {
			resolve(failureOf(`${endpoint.id}: the connection closed without an answer`));
		});
	});

	const fetchReport: UpstreamClient['fetchReport'] = async endpoint => new Promise(resolve => {
		const outgoing = sendRequest({
			host: endpoint.host, port: endpoint.port, path: '/_load', agent: keepAliveAgent, maxHeaderSize: maximumResponseHeaderBytes,
		});
		const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), reportTimeoutMs);
		outgoing.once('response', incoming => {
			let text = '';
			incoming.setEncoding('utf8');
			incoming.on('data', (chunk: string) => {
				text += chunk;
				if (text.length > maximumReportBytes) {
					outgoing.destroy();
				}
			});
			incoming.on('error', () => undefined);
			incoming.once('end', () => {
				resolve(parseLoadReport(text));
			});
		});
		outgoing.on('error', () => undefined);
		outgoing.once('close', () => {
			clearTimeout(timer);
			resolve(undefined);
		});
		outgoing.end();
	});

	return {
		send,
		fetchReport,
		close() {
			keepAliveAgent.destroy();
			singleUseAgent.destroy();
		},
	};
};
