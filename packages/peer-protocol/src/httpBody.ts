/**
 * Reads HTTP bodies up to a size limit.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {describeThrown, type PeerError} from './peerError.js';

/**
 * Reads a whole body as text.
 *
 * @param message - Request or response.
 * @param maximumBytes - Largest size of the body in bytes.
 * @returns The text; `tooLarge` over the limit, `unreachable` if the transfer ended early.
 */
export const readBody = async (message: IncomingMessage, maximumBytes: number): Promise<Result<string, PeerError>> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	try {
		for await (const chunk of message) {
			const buffer = chunk as Uint8Array;
			bytes += buffer.length;
			if (bytes > maximumBytes) {
				return err({kind: 'tooLarge', detail: `body over ${maximumBytes} bytes`});
			}

			chunks.push(buffer);
		}
	} catch (error) {
		return err({kind: 'unreachable', detail: describeThrown(error)});
	}

	return ok(Buffer.concat(chunks).toString('utf8'));
};
