/**
 * One HTTP attempt of a caller, and what it saw.
 */
import {Buffer} from 'node:buffer';
import {type Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {outcomeHeader} from '@filbertwell/types/headers';
import type {SocketAddress} from '@filbertwell/types/place';
import type {AttemptOutcome} from './callerRecord.js';

/** A request to send. */
export type AttemptRequest = {
	readonly address: SocketAddress;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly timeoutMs: number;
	readonly agent: Agent;
};

/** What came of it. */
export type AttemptResult = {
	readonly outcome: AttemptOutcome;
	readonly status: number | undefined;
	readonly body: string;
	readonly detail: string;
};

const unreachableCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']);
const detailLength = 200;

const entryOutcomes: readonly AttemptOutcome[] = ['not-run', 'in-doubt', 'replayed', 'invalid'];

const outcomeOf = (response: IncomingMessage): AttemptOutcome => {
	const named = response.headers[outcomeHeader];
	return entryOutcomes.find(outcome => outcome === named) ?? 'answered';
};

const withoutAnswer = (outcome: AttemptOutcome, detail: string): AttemptResult => ({
	outcome, status: undefined, body: '', detail,
});

const readAnswer = async (response: IncomingMessage): Promise<AttemptResult> => {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of response) {
			chunks.push(chunk as Uint8Array);
		}
	} catch (error) {
		return {...withoutAnswer('cut-off', String(error)), status: response.statusCode};
	}

	const body = Buffer.concat(chunks).toString('utf8');
	const outcome = outcomeOf(response);
	return {
		outcome,
		status: response.statusCode,
		body,
		detail: outcome === 'answered' || outcome === 'replayed' ? '' : body.slice(0, detailLength),
	};
};

/**
 * Sends a request and reads the whole answer.
 *
 * @param request - Address, method, path, headers and body.
 * @returns What was seen; it never throws.
 */
export const sendAttempt = async ({address, method, path, headers, body, timeoutMs, agent}: AttemptRequest): Promise<AttemptResult> => new Promise(resolve => {
	let timedOut = false;
	let answered = false;
	const request = httpRequest({
		host: address.host,
		port: address.port,
		method,
		path,
		agent,
		headers: body === '' ? headers : {...headers, 'content-length': String(Buffer.byteLength(body))},
	});
	const timer = setTimeout(() => {
		timedOut = true;
		request.destroy();
	}, timeoutMs);
	const settle = (result: AttemptResult): void => {
		clearTimeout(timer);
		resolve(result);
	};

	request.once('response', async response => {
		answered = true;
		const result = await readAnswer(response);
		settle(timedOut ? withoutAnswer('timed-out', 'caller stopped waiting') : result);
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		if (answered) {
			return;
		}

		const outcome = unreachableCodes.has(error.code ?? '') ? 'unreachable' : 'lost';
		settle(withoutAnswer(timedOut ? 'timed-out' : outcome, error.message));
	});
	request.end(body);
});
