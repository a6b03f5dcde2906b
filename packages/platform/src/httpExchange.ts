/**
 * One HTTP exchange with a time limit. Says whether the request can have reached the server.
 */
import {Buffer} from 'node:buffer';
import {request as startRequest, type Agent} from 'node:http';
import type {SocketAddress} from '@filbertwell/types/place';

/** A request to the platform. */
export type ExchangeRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path with query, already escaped. */
	readonly path: string;
	readonly body?: string | undefined;
	readonly contentType?: string | undefined;
};

/**
 * `answered`: a whole answer came. `notSent`: no connection was made, so nothing took effect.
 * `lost`: the request may have reached the server.
 */
export type ExchangeOutcome =
	| {readonly kind: 'answered'; readonly status: number; readonly body: string}
	| {readonly kind: 'notSent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};

/** Parameters of an exchange. */
export type ExchangeOptions = {
	readonly address: SocketAddress;
	readonly agent: Agent;
	readonly timeoutMs: number;
	readonly maximumAnswerBytes: number;
	readonly request: ExchangeRequest;
};

/**
 * Sends a request and reads its whole answer.
 *
 * @param options - Address, agent, time limit in milliseconds and request.
 * @returns The outcome; never rejects.
 */
export const exchange = async ({address, agent, timeoutMs, maximumAnswerBytes, request}: ExchangeOptions): Promise<ExchangeOutcome> => new Promise(resolve => {
	// Set as soon as a connection stands, since bytes may leave from then on.
	let connected = false;
	const fail = (detail: string) => {
		settle(connected ? {kind: 'lost', detail} : {kind: 'notSent', detail});
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
	let settled = false;
	const settle = (outcome: ExchangeOutcome) => {
		if (!settled) {
			settled = true;
			clearTimeout(timer);
			resolve(outcome);
		}
	};

	outgoing.on('socket', socket => {
		if (socket.connecting) {
			socket.once('connect', () => {
				connected = true;
			});
		} else {
			connected = true;
		}
	});
	outgoing.on('error', error => {
		fail(error.message);
	});
	outgoing.on('response', response => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		response.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			chunks.push(chunk);
			if (bytes > maximumAnswerBytes) {
				fail(`the answer is over ${maximumAnswerBytes} bytes`);
				outgoing.destroy();
			}
		});
		response.on('end', () => {
			settle({kind: 'answered', status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8')});
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
