/**
 * Buffers an upstream's whole response, for at-most-once requests whose response is stored.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {KeptAnswer} from '@filbertwell/orders/orders';
import {createByteCollector} from '@filbertwell/utils/byteCollector';

/** Result of buffering a response. */
export type BufferedResponse =
	| {readonly kind: 'whole'; readonly answer: KeptAnswer}
	| {readonly kind: 'truncated'}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'late'};

/** Largest response body that is stored, in bytes. */
export const maximumStoredBodyBytes = 262_144;

const toHeaderPairs = (flat: readonly string[]): Array<readonly [string, string]> =>
	flat.flatMap((name, index) => index % 2 === 0 ? [[name, flat[index + 1]!] as const] : []);

/**
 * Buffers a response. Destroys the message if its body is too large, truncated or late.
 *
 * @param message - The upstream's response.
 * @param headers - Headers to store, as alternating names and values.
 * @param remainingMs - Time limit for the body.
 * @returns The response, or the reason why it is incomplete; never rejects.
 */
export const bufferResponse = async (message: IncomingMessage, headers: readonly string[], remainingMs: number): Promise<BufferedResponse> => new Promise(resolve => {
	const collector = createByteCollector();

	const finish = (result: BufferedResponse) => {
		clearTimeout(timer);
		resolve(result);
		if (result.kind !== 'whole') {
			message.destroy();
		}
	};

	const timer = setTimeout(() => {
		finish({kind: 'late'});
	}, Math.max(0, remainingMs));
	message.on('data', (chunk: Uint8Array) => {
		collector.append(chunk);
		if (collector.length() > maximumStoredBodyBytes) {
			finish({kind: 'tooLarge'});
		}
	});
	message.once('error', () => undefined);
	message.once('close', () => {
		finish({kind: 'truncated'});
	});
	message.once('end', () => {
		finish(message.complete
			? {kind: 'whole', answer: {status: message.statusCode ?? 0, headers: toHeaderPairs(headers), body: Buffer.from(collector.bytes()).toString('base64')}}
			: {kind: 'truncated'});
	});
	message.resume();
});
