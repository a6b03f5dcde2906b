/**
 * Performs one HTTP request with a timeout and reports whether the request may have reached the server.
 */
import {Buffer} from 'node:buffer';
import {request as startRequest, type Agent} from 'node:http';
import type {SocketAddress} from '@filbertwell/types/place';
import {createByteCollector} from '@filbertwell/utils/byteCollector';

/** The request to send. */
export type ExchangeRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path with query, already escaped. */
	readonly path: string;
	readonly body?: string | undefined;
	readonly contentType?: string | undefined;
};

/**
 * `answered`: a complete response arrived. `notSent`: no connection was established, so the request
 * had no effect. `lost`: the request may have reached the server, but no complete response arrived.
 */
export type ExchangeOutcome =
	| {readonly kind: 'answered'; readonly status: number; readonly body: string}
	| {readonly kind: 'notSent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

export type ExchangeOptions = {
	readonly address: SocketAddress;
	readonly agent: Agent;
	readonly timeoutMs: number;
	readonly maximumResponseBytes: number;
	readonly request: ExchangeRequest;
};

/**
 * Sends a request and reads the complete response.
 *
 * @param options - Address, agent, timeout in milliseconds, maximum size of the response and request.
 * @returns The outcome; never rejects.
 */
export const exchange = async ({address, agent, timeoutMs, maximumResponseBytes, request}: ExchangeOptions): Promise<ExchangeOutcome> => new Promise(resolve => {
	// Set once the connection is established, because bytes may be sent from then on.
	let isConnected = false;
	const fail = (detail: string) => {
		settle(isConnected ? {kind: 'lost', detail} : {kind: 'notSent', detail});
	};

	const body = request.body === undefined ? undefined : Buffer.from(request.body);
	const outgoing = startRequest({
		agent,
		host: address.host,
		port: address.port,
		method: request.method,
		path: request.path,
		headers: body === undefined ? {} : {'content-type': request.contentType ?? 'application/json', 'content-length': body.length},
	});
	const timer = setTimeout(() => {
		fail(`no answer within ${timeoutMs} ms`);
		outgoing.destroy();
	}, timeoutMs);
	let isSettled = false;
	const settle = (outcome: ExchangeOutcome) => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			resolve(outcome);
		}
	};

	outgoing.on('socket', socket => {
		if (socket.connecting) {
			socket.once('connect', () => {
				isConnected = true;
			});
		} else {
			isConnected = true;
		}
	});
	outgoing.on('error', error => {
		fail(error.message);
	});
	outgoing.on('response', response => {
		const collector = createByteCollector();
		response.on('data', (chunk: Uint8Array) => {
			collector.append(chunk);
			if (collector.length() > maximumResponseBytes) {
				fail(`the answer is over ${maximumResponseBytes} bytes`);
				outgoing.destroy();
			}
		});
		response.on('end', () => {
			settle({kind: 'answered', status: response.statusCode ?? 0, body: collector.text()});
		});
		response.on('close', () => {
			fail('the answer ended early');
		});
		response.on('error', error => {
			fail(error.message);
		});
	});
	outgoing.end(body);
});
