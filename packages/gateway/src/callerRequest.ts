/**
 * Reads the body, the affinity key and the timeout of a caller's request.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {CallerLimits} from '@filbertwell/types/trafficPlan';
import {createByteCollector} from '@filbertwell/utils/byteCollector';
import type {GatewayHeaders} from './gatewayHeaders.js';

/**
 * Result of reading a body. `tooLarge`: the body exceeds the limit and was not read to its end.
 * `gone`: the connection closed or failed first.
 */
export type BodyReadResult =
	| {readonly kind: 'whole'; readonly body: Uint8Array}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'gone'};

/**
 * Reads the complete request body into memory.
 *
 * @param request - Request whose body has not been read yet.
 * @param limits - Limits of the traffic plan; only `maximumBodyBytes` applies here.
 * @returns The body, or the reason why it could not be read; never rejects.
 */
export const readWholeBody = async (request: IncomingMessage, limits: CallerLimits): Promise<BodyReadResult> => {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > limits.maximumBodyBytes) {
		return {kind: 'tooLarge'};
	}

	if (declaredBytes === 0 && request.headers['transfer-encoding'] === undefined) {
		request.resume();
		return {kind: 'whole', body: Buffer.alloc(0)};
	}

	return new Promise(resolve => {
		const collector = createByteCollector();
		request.on('data', (chunk: Uint8Array) => {
			if (collector.length() + chunk.length > limits.maximumBodyBytes) {
				request.pause();
				resolve({kind: 'tooLarge'});
				return;
			}

			collector.append(chunk);
		});
		request.once('end', () => {
			resolve(request.complete ? {kind: 'whole', body: collector.bytes()} : {kind: 'gone'});
		});
		request.once('error', () => {
			resolve({kind: 'gone'});
		});
		request.once('close', () => {
			resolve({kind: 'gone'});
		});
	});
};

/**
 * Reads the affinity key from the cookies.
 *
 * @param cookies - Value of the `Cookie` header.
 * @param name - Name of the cookie in lower case; cookie names are compared case-insensitively.
 * @returns The key; `undefined` if the cookie is missing.
 */
export const affinityKeyOf = (cookies: string | undefined, name: string): string | undefined => {
	for (const part of cookies?.split(';') ?? []) {
		const separator = part.indexOf('=');
		if (separator !== -1 && part.slice(0, separator).trim().toLowerCase() === name) {
			return part.slice(separator + 1).trim();
		}
	}

	return undefined;
};

/**
 * Reads how long the caller waits for the response.
 *
 * @param request - Request of the caller.
 * @param headers - Header names of the deployment.
 * @returns Milliseconds; `undefined` if the header is missing, not a number or negative.
 */
export const callerTimeoutMs = (request: IncomingMessage, headers: GatewayHeaders): number | undefined => {
	const text = request.headers[headers.deadline];
	const milliseconds = typeof text === 'string' && text.trim() !== '' ? Number(text) : Number.NaN;
	return Number.isFinite(milliseconds) && milliseconds >= 0 ? milliseconds : undefined;
};
