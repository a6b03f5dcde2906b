/**
 * Reads what a caller's request says: its route, its deadline, its affinity key and its body.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {CallerLimits} from '@filbertwell/types/trafficPlan';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** How the reading of a body ended. */
export type BodyReading =
	| {readonly kind: 'whole'; readonly body: Uint8Array}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'gone'};

/**
 * Reads a body whole.
 *
 * @param request - The request.
 * @param limits - Limits on callers.
 * @returns The body, or why there is none; never rejects.
 */
export const readWholeBody = async (request: IncomingMessage, limits: CallerLimits): Promise<BodyReading> => {
	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > limits.maximumBodyBytes) {
		return {kind: 'tooLarge'};
	}

	if (declared === 0 && request.headers['transfer-encoding'] === undefined) {
		request.resume();
		return {kind: 'whole', body: Buffer.alloc(0)};
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > limits.maximumBodyBytes) {
				request.pause();
				resolve({kind: 'tooLarge'});
				return;
			}

			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(request.complete ? {kind: 'whole', body: Buffer.concat(chunks, bytes)} : {kind: 'gone'});
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
 * @param cookies - Value of the Cookie header.
 * @param name - Name of the cookie.
 * @returns The key; `undefined` where there is none.
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
 * Reads how long the caller still waits.
 *
 * @param request - The request.
 * @param headers - Names of headers.
 * @returns Milliseconds; `undefined` where the request does not say it.
 */
export const callerDeadlineMs = (request: IncomingMessage, headers: GatewayHeaders): number | undefined => {
	const text = request.headers[headers.deadline];
	const milliseconds = typeof text === 'string' && text.trim() !== '' ? Number(text) : Number.NaN;
	return Number.isFinite(milliseconds) && milliseconds >= 0 ? milliseconds : undefined;
};
