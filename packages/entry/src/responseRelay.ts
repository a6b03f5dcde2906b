/**
 * Streams an upstream's response to the caller, with backpressure. If the upstream's response is
 * truncated, the caller's connection is destroyed: the status has been sent by then, and a normal
 * end would make the partial body look complete.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Completion} from '@filbertwell/routing/attempt';
import {
	loadHeader, outcomeHeader, requestIdHeader, upstreamOutcomeHeader,
} from '@filbertwell/types/headers';
import {endToEndHeaders} from './hopByHopHeaders.js';
import {forwardableTrailers, reasonPhraseOf} from './messageHead.js';

/** Response headers between upstream and entry that are not forwarded to callers. */
const internalHeaders: ReadonlySet<string> = new Set([loadHeader, upstreamOutcomeHeader, outcomeHeader, requestIdHeader]);

/** The caller's connection is destroyed after this time if the caller reads nothing or the upstream sends nothing. */
const idleTimeoutMs = 60_000;

/**
 * Selects the headers of an upstream's response that are forwarded to the caller, and adds the request id.
 *
 * @param message - The upstream's response.
 * @param requestId - Id of the request.
 * @returns Alternating names and values.
 */
export const callerHeaders = (message: IncomingMessage, requestId: string): string[] => {
	const headers = endToEndHeaders(message.rawHeaders, internalHeaders);
	headers.push(requestIdHeader, requestId);
	return headers;
};

const addTrailers = (message: IncomingMessage, response: ServerResponse): void => {
	const trailers = forwardableTrailers(message.rawTrailers);
	if (trailers.length > 0) {
		response.addTrailers(trailers);
	}
};

/**
 * Relays a response.
 *
 * @param message - The upstream's response, with its body unread.
 * @param response - The caller's response, not yet started.
 * @param headers - Headers for the caller, as alternating names and values.
 * @returns How the body ended; never rejects.
 */
export const relayResponse = async (message: IncomingMessage, response: ServerResponse, headers: string[]): Promise<Completion> => new Promise(resolve => {
	if (response.destroyed) {
		message.destroy();
		resolve('cancelled');
		return;
	}

	response.writeHead(message.statusCode ?? 0, reasonPhraseOf(message), headers);
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
