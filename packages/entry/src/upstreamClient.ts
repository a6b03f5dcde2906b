/**
 * Attempts at upstreams over HTTP/1.1.
 *
 * Idempotent requests use kept connections. At-most-once requests use a connection of their
 * own: an upstream may close a kept connection at the moment at which a request is written to
 * it, and then nobody can tell whether the request ran. On a new connection a failure before it
 * is open proves that nothing was written.
 */
import {type Buffer} from 'node:buffer';
import {
	Agent, type ClientRequest, type IncomingMessage, request as sendRequest,
} from 'node:http';
import type {Readable} from 'node:stream';
import type {Attempt, AttemptOutcome, Completion} from '@filbertwell/routing/attempt';
import {deadlineHeader, loadHeader, upstreamOutcomeHeader} from '@filbertwell/types/headers';
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import {headerBytes} from './headerBytes.js';
import {createLoadReportParser} from './loadReportParser.js';

/** Body of a request for an upstream. */
export type UpstreamBody =
	| {readonly kind: 'none'}
	| {readonly kind: 'buffered'; readonly content: Uint8Array}
	/** Can be sent once. `trailers` are read when the stream has ended. */
	| {readonly kind: 'streamed'; readonly stream: Readable; readonly trailers: () => readonly string[]};

/** A request for an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values in turn, without hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly body: UpstreamBody;
	/** Whether a kept connection may carry it. */
	readonly mayReuseConnection: boolean;
};

/** An upstream's answer whose body is still to be read. */
export type UpstreamAnswer = {
	readonly message: IncomingMessage;
	/** Tells how the reading of the body ended; the first call counts. */
	readonly complete: (completion: Completion) => void;
};

/** Client for upstreams. */
export type UpstreamClient = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, request: UpstreamRequest) => Promise<AttemptOutcome<UpstreamAnswer>>;
	/** Asks for a load report; `undefined` where there was none in time. */
	readonly fetchReport: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	readonly close: () => void;
};

const defaultConnectionsPerEndpoint = 64;
/** Under the shortest time for which upstreams commonly keep an idle connection, 5 s. */
const idleConnectionMs = 4000;
const connectTimeoutMs = 1000;
const reportTimeoutMs = 800;
const largestReportBytes = 4096;
const largestHeaderBytes = 32_768;

const firstValue = (message: IncomingMessage, name: string): string | undefined => {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const errorText = (endpoint: Endpoint, error: NodeJS.ErrnoException): string => `${endpoint.id}: ${error.code ?? error.message}`;

const writeBody = (outgoing: ClientRequest, body: UpstreamBody, countBytes: Attempt['countBytes']): void => {
	if (body.kind === 'none') {
		outgoing.end();
		return;
	}

	if (body.kind === 'buffered') {
		countBytes(body.content.length, 0);
		outgoing.end(body.content);
		return;
	}

	const {stream, trailers} = body;
	stream.on('data', (chunk: Uint8Array) => {
		countBytes(chunk.length, 0);
	});
	stream.once('end', () => {
		const names = trailers();
		if (names.length > 0) {
			outgoing.addTrailers(Object.fromEntries(names.flatMap((name, index) => index % 2 === 0 ? [[name, names[index + 1]!]] : [])));
		}
	});
	stream.once('error', () => outgoing.destroy());
	stream.pipe(outgoing);
};

const discard = (message: IncomingMessage): void => {
	message.on('error', () => undefined);
	message.resume();
};

/**
 * Creates a client.
 *
 * @param connectionsPerEndpoint - Most open connections to each endpoint.
 * @returns The client, with its kept connections.
 */
export const createUpstreamClient = (connectionsPerEndpoint = defaultConnectionsPerEndpoint): UpstreamClient => {
	const keptConnections = new Agent({
		keepAlive: true, maxSockets: connectionsPerEndpoint, maxFreeSockets: connectionsPerEndpoint, timeout: idleConnectionMs, scheduling: 'lifo',
	});
	const singleConnections = new Agent({keepAlive: false});
	const parseLoadReport = createLoadReportParser();

	const open = (endpoint: Endpoint, attempt: Attempt, {method, path, headers, mayReuseConnection}: UpstreamRequest): ClientRequest => sendRequest({
		host: endpoint.host,
		port: endpoint.port,
		method,
		path,
		headers: [...headers, deadlineHeader, String(Math.max(1, Math.floor(attempt.remainingMs)))] as unknown as Record<string, string>,
		agent: mayReuseConnection ? keptConnections : singleConnections,
		maxHeaderSize: largestHeaderBytes,
		setHost: false,
	});

	const send: UpstreamClient['send'] = async (endpoint, attempt, request) => new Promise(resolve => {
		const {signal, countBytes} = attempt;
		if (signal.aborted) {
			resolve({kind: 'cancelled', written: false});
			return;
		}

		const outgoing = open(endpoint, attempt, request);
		let message: IncomingMessage | undefined;
		/** Whether a connection was open: from then on the request may have been written. */
		let isWritten = false;
		let complete: (completion: Completion) => void = () => undefined;

		const onAbort = () => {
			resolve({kind: 'cancelled', written: isWritten});
			complete('cancelled');
			message?.destroy();
			outgoing.destroy();
		};

		const onConnected = () => {
			isWritten = true;
		};

		const connectTimer = setTimeout(() => {
			if (!isWritten) {
				outgoing.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
			}
		}, connectTimeoutMs);

		const finish = () => {
			clearTimeout(connectTimer);
			signal.removeEventListener('abort', onAbort);
		};

		const answer = (incoming: IncomingMessage): AttemptOutcome<UpstreamAnswer> => {
			const reportText = firstValue(incoming, loadHeader);
			const report = reportText === undefined ? undefined : parseLoadReport(reportText);
			if (firstValue(incoming, upstreamOutcomeHeader) === 'not-run') {
				discard(incoming);
				finish();
				return {
					kind: 'not-run', cause: 'refused', reason: `${endpoint.id}: refused before running`, report,
				};
			}

			const completion = new Promise<Completion>(resolve => {
				complete = result => {
					finish();
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
				socket.once('connect', onConnected);
			} else {
				onConnected();
			}
		});
		outgoing.once('response', incoming => {
			message = incoming;
			clearTimeout(connectTimer);
			countBytes(0, headerBytes(incoming.rawHeaders));
			resolve(answer(incoming));
		});
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			finish();
			resolve(isWritten
				? {kind: 'failed', reason: errorText(endpoint, error)}
				: {
					kind: 'not-run', cause: 'unreachable', reason: errorText(endpoint, error), report: undefined,
				});
		});
		outgoing.once('close', () => {
			resolve({kind: 'failed', reason: `${endpoint.id}: the connection closed without an answer`});
		});
		countBytes(headerBytes(request.headers), 0);
		writeBody(outgoing, request.body, countBytes);
	});

	const fetchReport: UpstreamClient['fetchReport'] = async endpoint => new Promise(resolve => {
		const outgoing = sendRequest({
			host: endpoint.host, port: endpoint.port, path: '/_load', agent: keptConnections, maxHeaderSize: largestHeaderBytes,
		});
		const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), reportTimeoutMs);
		outgoing.once('response', incoming => {
			let text = '';
			incoming.setEncoding('utf8');
			incoming.on('data', (chunk: string) => {
				text += chunk;
				if (text.length > largestReportBytes) {
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
			keptConnections.destroy();
			singleConnections.destroy();
		},
	};
};
