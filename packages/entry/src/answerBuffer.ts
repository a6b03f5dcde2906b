/**
 * Reads an upstream's answer whole, for requests whose answer is kept.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {KeptAnswer} from '@filbertwell/orders/orders';

/** What came of reading an answer. */
export type BufferedAnswer =
	| {readonly kind: 'whole'; readonly answer: KeptAnswer}
	| {readonly kind: 'truncated'}
	| {readonly kind: 'tooLarge'}
	| {readonly kind: 'late'};

/** Largest body that is kept, in bytes. */
export const largestKeptBody = 262_144;

const pairs = (flat: readonly string[]): Array<readonly [string, string]> =>
	flat.flatMap((name, index) => index % 2 === 0 ? [[name, flat[index + 1]!] as const] : []);

/**
 * Reads an answer.
 *
 * @param message - The upstream's answer.
 * @param headers - Headers to keep, names and values in turn.
 * @param remainingMs - Time limit for the body.
 * @returns The answer, or why it is not whole; never rejects.
 */
export const bufferAnswer = async (message: IncomingMessage, headers: readonly string[], remainingMs: number): Promise<BufferedAnswer> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;

	const finish = (result: BufferedAnswer) => {
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
		bytes += chunk.length;
		chunks.push(chunk);
		if (bytes > largestKeptBody) {
			finish({kind: 'tooLarge'});
		}
	});
	message.once('error', () => undefined);
	message.once('close', () => {
		finish({kind: 'truncated'});
	});
	message.once('end', () => {
		finish(message.complete
			? {kind: 'whole', answer: {status: message.statusCode ?? 0, headers: pairs(headers), body: Buffer.concat(chunks).toString('base64')}}
			: {kind: 'truncated'});
	});
	message.resume();
});
