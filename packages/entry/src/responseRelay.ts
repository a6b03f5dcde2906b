/**
 * Passes an upstream's answer on to the caller as it comes, with backpressure both ways. When
 * the upstream stops short, the caller's connection is reset: the status has been sent by then,
 * and ending the answer normally would make a part look like the whole.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Completion} from '@filbertwell/routing/attempt';
import {
	loadHeader, outcomeHeader, requestIdHeader, upstreamOutcomeHeader,
} from '@filbertwell/types/headers';
import {endToEndHeaders} from './hopByHopHeaders.js';

/** Headers between upstream and entry, which callers do not see. */
const internalHeaders: ReadonlySet<string> = new Set([loadHeader, upstreamOutcomeHeader, outcomeHeader, requestIdHeader]);

/** Longest time without a byte read by the caller or sent by the upstream. */
const idleTimeoutMs = 60_000;

/**
 * Headers of an upstream's answer that the caller gets.
 *
 * @param message - The upstream's answer.
 * @param requestId - Id of the request.
 * @returns Names and values in turn.
 */
export const callerHeaders = (message: IncomingMessage, requestId: string): string[] => {
	const headers = endToEndHeaders(message.rawHeaders, internalHeaders);
	headers.push(requestIdHeader, requestId);
	return headers;
};

const addTrailers = (message: IncomingMessage, response: ServerResponse): void => {
	const {rawTrailers} = message;
	if (rawTrailers.length > 0) {
		response.addTrailers(rawTrailers.flatMap((name, index) => index % 2 === 0 ? [[name, rawTrailers[index + 1]!] as [string, string]] : []));
	}
};

/**
 * Relays an answer.
 *
 * @param message - The upstream's answer, its body unread.
 * @param response - The caller's response, not yet started.
 * @param headers - Headers for the caller, names and values in turn.
 * @returns How the body ended; never rejects.
 */
export const relayAnswer = async (message: IncomingMessage, response: ServerResponse, headers: string[]): Promise<Completion> => new Promise(resolve => {
	if (response.destroyed) {
		message.destroy();
		resolve('cancelled');
		return;
	}

	response.writeHead(message.statusCode ?? 0, message.statusMessage, headers);
	message.once('end', () => {
		if (message.complete) {
			addTrailers(message, response);
			resolve('complete');
		}
	});
	message.once('error', () => undefined);
	message.once('close', () => {
		if (!message.complete) {
			response.destroy();
			resolve('truncated');
		}
	});
	response.once('close', () => {
		if (!response.writableFinished) {
			message.destroy();
			resolve('cancelled');
		}
	});
	response.on('error', () => undefined);
	response.setTimeout(idleTimeoutMs, () => {
		response.destroy();
	});
	message.pipe(response);
});
