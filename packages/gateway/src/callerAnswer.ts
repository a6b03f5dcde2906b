/**
 * Answers to callers: an endpoint's, unchanged, or the gateway's own.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endToEndHeaders} from '@filbertwell/entry/hopByHopHeaders';
import type {EndpointAnswer} from './endpointClient.js';

/** An answer of the gateway itself. */
export type OwnAnswer = {
	readonly status: number;
	/** What happened, for people. */
	readonly problem: string;
	/** When to come back, in seconds; for requests that did not run. */
	readonly retryAfterSeconds?: number;
	/** Whether the rest of the request is left unread. */
	readonly closesConnection?: boolean;
};

const contentLength = 'content-length';

const isCaller = (response: ServerResponse): boolean => !response.destroyed && !response.headersSent;

/**
 * Sends an answer of the gateway.
 *
 * @param response - The caller's response; nothing happens where the caller is gone.
 * @param answer - The answer.
 */
export const sendOwnAnswer = (response: ServerResponse, {status, problem, retryAfterSeconds, closesConnection}: OwnAnswer): void => {
	if (!isCaller(response)) {
		return;
	}

	const body = Buffer.from(JSON.stringify({problem}));
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.setHeader(contentLength, body.length);
	if (retryAfterSeconds !== undefined) {
		response.setHeader('retry-after', String(retryAfterSeconds));
	}

	if (closesConnection === true) {
		response.shouldKeepAlive = false;
	}

	response.end(body);
};

/**
 * Sends an endpoint's answer.
 *
 * @param response - The caller's response; nothing happens where the caller is gone.
 * @param answer - The endpoint's answer.
 * @param internalHeaders - Headers between endpoint and gateway, in lower case, which callers do not get.
 */
export const sendEndpointAnswer = (response: ServerResponse, answer: EndpointAnswer, internalHeaders: ReadonlySet<string>): void => {
	if (!isCaller(response)) {
		return;
	}

	const headers = endToEndHeaders(answer.rawHeaders, internalHeaders);
	if (answer.endsWithConnection) {
		// A length would make an answer look whole that may have been cut off.
		headers.push('Connection', 'close');
		response.shouldKeepAlive = false;
		response.useChunkedEncodingByDefault = false;
	} else {
		headers.push('Content-Length', String(answer.body.length));
	}

	response.writeHead(answer.status, answer.statusText, headers);
	response.end(answer.body);
};
