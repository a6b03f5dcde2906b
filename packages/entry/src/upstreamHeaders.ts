/**
 * Builds the headers of requests to upstreams.
 */
import type {IncomingMessage} from 'node:http';
import {deadlineHeader, outcomeHeader, requestIdHeader} from '@filbertwell/types/headers';
import {endToEndHeaders} from './hopByHopHeaders.js';
import {normalizeAddress} from './lookupHandler.js';
import type {ParsedRequest} from './requestParser.js';
import type {UpstreamBody} from './upstreamBody.js';

/** Headers of the caller that are dropped because the entry sets its own values or because they describe the framing of the caller's request. */
const replacedHeaders: ReadonlySet<string> = new Set([
	'host', 'content-length', 'expect', 'x-forwarded-for', deadlineHeader, requestIdHeader, outcomeHeader,
]);

const bodylessMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE', 'TRACE']);

const framingHeaders = (body: UpstreamBody, {method, bodyBytes}: ParsedRequest): string[] => {
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
	const previous = request.headers['x-forwarded-for'];
	const caller = normalizeAddress(request.socket.remoteAddress ?? 'unknown');
	return previous === undefined ? caller : `${String(previous)}, ${caller}`;
};

/**
 * Builds the headers of a request to an upstream.
 *
 * @param request - The caller's request.
 * @param parsed - The same request, parsed.
 * @param body - The body that will be sent.
 * @returns Alternating names and values, without the deadline header, which each attempt adds.
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
		...framingHeaders(body, parsed),
	);
	return headers;
};
