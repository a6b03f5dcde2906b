/**
 * Reads a caller's request body as its route needs it: whole for at-most-once requests, whose
 * fingerprint covers it; whole up to a small size for others, so that another attempt can send
 * it again; streamed beyond that, with a count that stops it at the service's limit.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {UpstreamBody} from './upstreamClient.js';

/** What came of reading a body. */
export type BodyOutcome =
	| {readonly kind: 'ready'; readonly body: UpstreamBody}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'late'}
	/** The caller went away. */
	| {readonly kind: 'gone'};

/** Bodies up to this size are read before the first attempt. */
const replayableBytes = 65_536;

/** What is known of a body before it is read. */
export type BodyNeed = {
	/** Length by the request's header, if it has one. */
	readonly declaredBytes: number | undefined;
	/** Limit of the service. */
	readonly maximumBytes: number;
	readonly mustBeWhole: boolean;
	/** Time limit for the part that is read here. */
	readonly remainingMs: number;
};

const streamed = (request: IncomingMessage): BodyOutcome => ({
	kind: 'ready',
	body: {kind: 'streamed', stream: request, trailers: () => request.rawTrailers},
});

/**
 * Reads a body, or prepares it for streaming.
 *
 * @param request - The caller's request.
 * @param need - What is known and wanted.
 * @returns The body, or why there is none; never rejects.
 */
export const readBody = async (request: IncomingMessage, {declaredBytes, maximumBytes, mustBeWhole, remainingMs}: BodyNeed): Promise<BodyOutcome> => {
	if (declaredBytes === 0) {
		return {kind: 'ready', body: {kind: 'none'}};
	}

	const bufferBytes = mustBeWhole ? maximumBytes : Math.min(replayableBytes, maximumBytes);
	if (declaredBytes !== undefined && declaredBytes > bufferBytes) {
		return streamed(request);
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;

		const finish = (result: BodyOutcome) => {
			clearTimeout(timer);
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			resolve(result);
		};

		const onData = (chunk: Uint8Array) => {
			bytes += chunk.length;
			chunks.push(chunk);
			if (bytes <= bufferBytes) {
				return;
			}

			if (mustBeWhole || bytes > maximumBytes) {
				finish({kind: 'tooLarge'});
				return;
			}

			request.pause();
			finish(streamed(request));
			request.unshift(Buffer.concat(chunks));
		};

		const onEnd = () => {
			finish({kind: 'ready', body: {kind: 'buffered', content: Buffer.concat(chunks)}});
		};

		const onClose = () => {
			finish({kind: 'gone'});
		};

		const timer = setTimeout(() => {
			finish({kind: 'late'});
		}, Math.max(0, remainingMs));
		request.on('data', onData);
		request.once('end', onEnd);
		request.once('close', onClose);
		request.once('error', () => undefined);
	});
};

/**
 * Stops a streamed body that passes the limit.
 *
 * @param request - The caller's request.
 * @param maximumBytes - Limit of the service.
 * @param onTooLarge - Called once, before the body is destroyed.
 */
export const limitStream = (request: IncomingMessage, maximumBytes: number, onTooLarge: () => void): void => {
	let bytes = 0;
	const count = (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maximumBytes) {
			request.off('data', count);
			onTooLarge();
		}
	};

	request.on('data', count);
	request.pause();
};
