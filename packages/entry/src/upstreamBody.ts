/**
 * Writes the body of a request to an upstream.
 */
import type {ClientRequest} from 'node:http';
import {type Readable, Transform} from 'node:stream';
import type {Attempt} from '@filbertwell/routing/attempt';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {forwardableTrailers} from './messageHead.js';

/** Body of a request for an upstream. */
export type UpstreamBody =
	| {readonly kind: 'none'}
	| {readonly kind: 'buffered'; readonly content: Uint8Array}
	/** Can be sent only once. `trailers` is called when the stream has ended. */
	| {readonly kind: 'streamed'; readonly stream: Readable; readonly trailers: () => readonly string[]};

/**
 * Creates a stream that holds back the last chunk until the event loop has polled once more. If the caller's close was
 * received with the end of the body, the request is cancelled by then, and the upstream never has it complete.
 */
const createLastChunkBarrier = (): Transform => {
	let last: Uint8Array | undefined;
	return new Transform({
		transform(chunk: Uint8Array, _encoding, callback) {
			const previous = last;
			last = chunk;
			callback(undefined, previous); // eslint-disable-line unicorn/no-useless-undefined -- no error
		},
		async flush(callback) {
			await afterNextPoll();
			callback(undefined, last); // eslint-disable-line unicorn/no-useless-undefined -- no error
		},
	});
};

/**
 * Writes a body and ends the request. A stream is written as fast as the upstream reads.
 *
 * @param outgoing - The request, whose connection is open.
 * @param body - The body.
 * @param countBytes - Records the bytes that are sent.
 */
export const writeBody = (outgoing: ClientRequest, body: UpstreamBody, countBytes: Attempt['countBytes']): void => {
	if (body.kind === 'none') {
		outgoing.end();
		return;
	}

	if (body.kind === 'buffered') {
		countBytes(body.content.length, 0);
		outgoing.end(body.content);
		return;
	}

	const {stream, trailers} = body;
	stream.on('data', (chunk: Uint8Array) => {
		countBytes(chunk.length, 0);
	});
	stream.once('end', () => {
		const forwarded = forwardableTrailers(trailers());
		if (forwarded.length > 0) {
			outgoing.addTrailers(forwarded);
		}
	});
	stream.once('error', () => outgoing.destroy());
	stream.pipe(createLastChunkBarrier()).pipe(outgoing);
};
