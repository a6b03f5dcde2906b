/**
 * Writes responses to callers: either the response of an endpoint or one that the gateway generates itself.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endToEndHeaders} from '@filbertwell/entry/hopByHopHeaders';
import type {EndpointResponse} from './endpointClient.js';

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
 * Forwards the response of an endpoint, without hop-by-hop and internal headers.
 *
 * @param response - The caller's response; ignored if it is destroyed or its headers have been sent.
 * @param endpointResponse - The endpoint's complete response.
 * @param internalHeaders - Names of further headers to remove, in lower case.
 */
export const sendEndpointResponse = (response: ServerResponse, endpointResponse: EndpointResponse, internalHeaders: ReadonlySet<string>): void => {
	if (!canRespond(response)) {
		return;
	}

	const headers = endToEndHeaders(endpointResponse.rawHeaders, internalHeaders);
	if (endpointResponse.isCloseDelimited) {
		// The body may be truncated. A Content-Length header would make it look complete.
		headers.push('Connection', 'close');
		response.shouldKeepAlive = false;
		response.useChunkedEncodingByDefault = false;
	} else {
		headers.push('Content-Length', String(endpointResponse.body.length));
	}

	response.writeHead(endpointResponse.status, endpointResponse.statusText, headers);
	response.end(endpointResponse.body);
};
