/**
 * Writes responses to callers: either the response of an endpoint or one that the gateway generates itself.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endToEndHeaders} from '@filbertwell/entry/hopByHopHeaders';
import type {EndpointResponse} from './endpointClient.js';
import type {PartialBody} from './responseBody.js';

/** A response that the gateway generates itself. */
export type GatewayResponse = {
	readonly status: number;
	/** Human-readable description of what happened; sent in the JSON body. */
	readonly problem: string;
	/** Value of the `Retry-After` header in seconds, with fractions; only for requests that did not run. */
	readonly retryAfterSeconds?: number;
	/** Whether to close the connection after the response, because the request body was not read to its end. */
	readonly closesConnection?: boolean;
};

const contentLengthHeader = 'content-length';

const canRespond = (response: ServerResponse): boolean => !response.destroyed && !response.headersSent;

/**
 * Sends a response that the gateway generated, with a JSON body.
 *
 * @param response - The caller's response; ignored if it is destroyed or its headers have been sent.
 * @param gatewayResponse - Status, description and connection handling.
 */
export const sendGatewayResponse = (response: ServerResponse, {status, problem, retryAfterSeconds, closesConnection}: GatewayResponse): void => {
	if (!canRespond(response)) {
		return;
	}

	const body = Buffer.from(JSON.stringify({problem}));
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.setHeader(contentLengthHeader, body.length);
	if (retryAfterSeconds !== undefined) {
		response.setHeader('retry-after', String(retryAfterSeconds));
	}

	if (closesConnection === true) {
		response.shouldKeepAlive = false;
	}

	response.end(body);
};

/**
 * Writes the head of an endpoint's response, and the body if it is complete.
 *
 * @param response - The caller's response; ignored if it is destroyed or its headers have been sent.
 * @param endpointResponse - The endpoint's response.
 * @param internalHeaders - Names of further headers to remove, in lower case.
 * @returns The body that remains to be written with `sendPartialBody`; `undefined` if there is none.
 */
export const sendEndpointResponse = (response: ServerResponse, endpointResponse: EndpointResponse, internalHeaders: ReadonlySet<string>): PartialBody | undefined => {
	const {body, isCloseDelimited, rawHeaders, status, statusText} = endpointResponse;
	if (!canRespond(response)) {
		return body.kind === 'partial' ? body : undefined;
	}

	const headers = endToEndHeaders(rawHeaders, internalHeaders);
	const length = body.kind === 'whole' ? String(body.bytes.length) : body.rest.headers[contentLengthHeader];
	if (isCloseDelimited) {
		// The body may be truncated. A Content-Length header would make it look complete.
		headers.push('Connection', 'close');
		response.shouldKeepAlive = false;
		response.useChunkedEncodingByDefault = false;
	} else if (length !== undefined) {
		headers.push('Content-Length', length);
	}

	response.writeHead(status, statusText, headers);
	if (body.kind === 'partial') {
		return body;
	}

	response.end(body.bytes);
	return undefined;
};
