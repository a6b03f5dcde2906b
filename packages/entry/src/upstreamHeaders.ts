/**
 * Headers of a request on its way to an upstream.
 */
import type {IncomingMessage} from 'node:http';
import {deadlineHeader, outcomeHeader, requestIdHeader} from '@filbertwell/types/headers';
import {endToEndHeaders} from './hopByHopHeaders.js';
import {plainAddress} from './lookupHandler.js';
import type {ParsedRequest} from './requestParser.js';
import type {UpstreamBody} from './upstreamClient.js';

/** Headers that the entry sets itself. The request's own framing never passes on. */
const replacedHeaders: ReadonlySet<string> = new Set([
	'host', 'content-length', 'expect', 'x-forwarded-for', deadlineHeader, requestIdHeader, outcomeHeader,
]);

const bodylessMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE', 'TRACE']);

const framing = (body: UpstreamBody, {method, bodyBytes}: ParsedRequest): string[] => {
	switch (body.kind) {
		case 'none': {
			return bodylessMethods.has(method) ? [] : ['content-length', '0'];
		}

		case 'buffered': {
			return ['content-length', String(body.content.length)];
		}

		case 'streamed': {
			return bodyBytes === undefined ? ['transfer-encoding', 'chunked'] : ['content-length', String(bodyBytes)];
		}
	}
};

const forwardedFor = (request: IncomingMessage): string => {
	const earlier = request.headers['x-forwarded-for'];
	const caller = plainAddress(request.socket.remoteAddress ?? 'unknown');
	return earlier === undefined ? caller : `${String(earlier)}, ${caller}`;
};

/**
 * Builds the headers.
 *
 * @param request - The caller's request.
 * @param parsed - What was read from it.
 * @param body - The body as it will be sent.
 * @returns Names and values in turn; the deadline is added by each attempt.
 */
export const upstreamHeaders = (request: IncomingMessage, parsed: ParsedRequest, body: UpstreamBody): string[] => {
	const headers = endToEndHeaders(request.rawHeaders, replacedHeaders);
	headers.push(
		'host',
		request.headers.host ?? parsed.service.name,
		requestIdHeader,
		parsed.id,
		'x-forwarded-for',
		forwardedFor(request),
		...framing(body, parsed),
	);
	return headers;
};
