/**
 * Sends a single HTTP request of a caller and classifies the result.
 */
import {Buffer} from 'node:buffer';
import {type Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {outcomeHeader} from '@filbertwell/types/headers';
import type {SocketAddress} from '@filbertwell/types/place';
import type {AttemptOutcome} from './callerRecord.js';

/** An HTTP request to send. */
export type AttemptRequest = {
	readonly address: SocketAddress;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly timeoutMs: number;
	readonly agent: Agent;
};

/** Result of an attempt. */
export type AttemptResult = {
	readonly outcome: AttemptOutcome;
	/** HTTP status; `undefined` without a response. */
	readonly status: number | undefined;
	/** Body of the response; empty if it is missing or incomplete. */
	readonly body: string;
	/** Error of the connection, or start of the response body if the request was not answered; empty otherwise. */
	readonly detail: string;
};

const unreachableCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);
const maximumDetailLength = 200;

const entryOutcomes: readonly AttemptOutcome[] = ['not-run', 'in-doubt', 'replayed', 'invalid'];

const parseOutcome = (response: IncomingMessage): AttemptOutcome => {
	const headerValue = response.headers[outcomeHeader];
	return entryOutcomes.find(outcome => outcome === headerValue) ?? 'answered';
};

const createResultWithoutResponse = (outcome: AttemptOutcome, detail: string): AttemptResult => ({
	outcome, status: undefined, body: '', detail,
});

const readResponse = async (response: IncomingMessage): Promise<AttemptResult> => {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of response) {
			chunks.push(chunk as Uint8Array);
		}
	} catch (error) {
		return {...createResultWithoutResponse('cut-off', String(error)), status: response.statusCode};
	}

	const body = Buffer.concat(chunks).toString('utf8');
	const outcome = parseOutcome(response);
	return {
		outcome,
		status: response.statusCode,
		body,
		detail: outcome === 'answered' || outcome === 'replayed' ? '' : body.slice(0, maximumDetailLength),
	};
};

/**
 * Sends a request and reads the whole response.
 *
 * @param request - Address, method, path, headers, body and timeout of the request.
 * @returns The result; errors are reported as outcomes, and the promise never rejects.
 */
export const sendAttempt = async ({address, method, path, headers, body, timeoutMs, agent}: AttemptRequest): Promise<AttemptResult> => new Promise(resolve => {
	let hasTimedOut = false;
	let hasResponse = false;
	const request = httpRequest({
		host: address.host,
		port: address.port,
		method,
		path,
		agent,
		headers: body === '' ? headers : {...headers, 'content-length': String(Buffer.byteLength(body))},
	});
	const timer = setTimeout(() => {
		hasTimedOut = true;
		request.destroy();
	}, timeoutMs);
	const settle = (result: AttemptResult): void => {
		clearTimeout(timer);
		resolve(result);
	};

	request.once('response', async response => {
		hasResponse = true;
		const result = await readResponse(response);
		settle(hasTimedOut ? createResultWithoutResponse('timed-out', 'timeout of the caller expired') : result);
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		if (hasResponse) {
			return;
		}

		const outcome = unreachableCodes.has(error.code ?? '') ? 'unreachable' : 'lost';
		settle(createResultWithoutResponse(hasTimedOut ? 'timed-out' : outcome, error.message));
	});
	request.end(body);
});
