/**
 * Reads the body of an endpoint's response. A body of usual size is read completely before it is used, so that a
 * truncated one can be replaced by a retry. The rest of a larger one stays on the connection until the caller reads it,
 * which bounds the memory.
 */
import type {IncomingMessage} from 'node:http';
import {createByteCollector} from '@filbertwell/utils/byteCollector';

/** A body of which only the first bytes were read. The rest must be read or destroyed. */
export type PartialBody = {
	readonly kind: 'partial';
	readonly firstBytes: Uint8Array;
	readonly rest: IncomingMessage;
};

/** Body of a response. */
export type ResponseBody = {readonly kind: 'whole'; readonly bytes: Uint8Array} | PartialBody;

/** Limits on the memory that bodies occupy while they are read. */
export type ResponseBodyLimits = {
	/** Size from which a body is not read completely, in bytes. */
	readonly wholeBytes: number;
	/** Size from which a body is not read completely while all bodies together exceed `totalBytes`. */
	readonly wholeBytesUnderPressure: number;
	/** Bytes of all bodies that are being read, above which memory is under pressure. */
	readonly totalBytes: number;
};

/** Reads one body; calls exactly one of the callbacks, once. */
export type ReadResponseBody = (message: IncomingMessage, onRead: (body: ResponseBody) => void, onFailed: (reason: string) => void) => void;

export const defaultResponseBodyLimits: ResponseBodyLimits = {
	wholeBytes: 1024 * 1024,
	wholeBytesUnderPressure: 64 * 1024,
	totalBytes: 32 * 1024 * 1024,
};

/**
 * Creates a reader that shares the limits among all bodies.
 *
 * @param limits - Limits on the memory.
 * @returns The reader.
 */
export const createResponseBodyReader = (limits: ResponseBodyLimits = defaultResponseBodyLimits): ReadResponseBody => {
	let totalBytes = 0;

	return (message, onRead, onFailed) => {
		const collector = createByteCollector();
		let isDone = false;

		const finish = (report: () => void) => {
			if (!isDone) {
				isDone = true;
				totalBytes -= collector.length();
				report();
			}
		};

		const onData = (chunk: Uint8Array) => {
			collector.append(chunk);
			totalBytes += chunk.length;
			const bytes = collector.length();
			if (bytes > limits.wholeBytes || (bytes > limits.wholeBytesUnderPressure && totalBytes > limits.totalBytes)) {
				message.off('data', onData);
				message.pause();
				finish(() => {
					onRead({kind: 'partial', firstBytes: collector.bytes(), rest: message});
				});
			}
		};

		message.on('data', onData);
		message.once('end', () => {
			finish(() => {
				if (message.complete) {
					onRead({kind: 'whole', bytes: collector.bytes()});
				} else {
					onFailed('the answer ended early');
				}
			});
		});
		message.on('error', error => {
			finish(() => {
				onFailed(`the answer broke off: ${error.message}`);
			});
		});
		message.once('close', () => {
			finish(() => {
				onFailed('the answer broke off');
			});
		});
	};
};
