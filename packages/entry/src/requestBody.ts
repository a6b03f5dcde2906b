/**
 * Reads a caller's request body as its route requires. Bodies of at-most-once requests are
 * buffered whole, because the fingerprint covers them. Small bodies of other requests are buffered
 * so that a retry can send them again. Larger ones are streamed and cut off at the service's limit.
 */
import type {IncomingMessage} from 'node:http';
import {createByteCollector} from '@filbertwell/utils/byteCollector';
import type {UpstreamBody} from './upstreamBody.js';

/** Result of reading or preparing a body. */
export type BodyOutcome =
	| {readonly kind: 'ready'; readonly body: UpstreamBody}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'late'}
	/** The caller disconnected. */
	| {readonly kind: 'gone'};

/** Bodies up to this size are buffered before the first attempt, so that retries can send them again. */
const maximumReplayableBytes = 65_536;

/** Limits and requirements for reading a body. */
export type BodyRequirements = {
	/** Value of the `Content-Length` header; 0 if the request has no body, `undefined` if the length is unknown. */
	readonly declaredBytes: number | undefined;
	/** The service's limit. */
	readonly maximumBytes: number;
	/** Whether the body must be buffered whole, up to `maximumBytes`. */
	readonly mustBuffer: boolean;
	/** Time limit for the buffered part. */
	readonly remainingMs: number;
};

const streamBody = (request: IncomingMessage): BodyOutcome => ({
	kind: 'ready',
	body: {kind: 'streamed', stream: request, trailers: () => request.rawTrailers},
});

/**
 * Buffers a body or prepares it for streaming.
 *
 * @param request - The caller's request.
 * @param requirements - Limits and requirements.
 * @returns The body, or the reason why there is none; never rejects.
 */
export const readBody = async (request: IncomingMessage, {declaredBytes, maximumBytes, mustBuffer, remainingMs}: BodyRequirements): Promise<BodyOutcome> => {
	if (declaredBytes === 0) {
		return {kind: 'ready', body: {kind: 'none'}};
	}

	const bufferBytes = mustBuffer ? maximumBytes : Math.min(maximumReplayableBytes, maximumBytes);
	if (declaredBytes !== undefined && declaredBytes > bufferBytes) {
		return streamBody(request);
	}

	return new Promise(resolve => {
		const collector = createByteCollector();

		const finish = (result: BodyOutcome) => {
			clearTimeout(timer);
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			resolve(result);
		};

		const onData = (chunk: Uint8Array) => {
			collector.append(chunk);
			const bytes = collector.length();
			if (bytes <= bufferBytes) {
				return;
			}

			if (mustBuffer || bytes > maximumBytes) {
				finish({kind: 'tooLarge'});
				return;
			}

			request.pause();
			finish(streamBody(request));
			request.unshift(collector.bytes());
		};

		const onEnd = () => {
			finish({kind: 'ready', body: {kind: 'buffered', content: collector.bytes()}});
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
 * Counts the bytes of a streamed body and reports when they exceed the limit. Pauses the request
 * until something consumes it.
 *
 * @param request - The caller's request.
 * @param maximumBytes - The service's limit.
 * @param onTooLarge - Called once when the limit is exceeded; must stop the transfer.
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
