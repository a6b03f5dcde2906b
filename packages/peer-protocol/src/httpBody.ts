/**
 * Reads HTTP bodies up to a size limit.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {promisify} from 'node:util';
import {gunzip} from 'node:zlib';
import {createByteCollector} from '@filbertwell/utils/byteCollector';
import {err, ok, type Result} from 'neverthrow';
import {describeThrown, type PeerError} from './peerError.js';

/** A body that may have been compressed. */
export type EncodedBody = {
	readonly text: string;
	/** Size before decompression. */
	readonly transferredBytes: number;
};

const decompress = promisify(gunzip);

const readBytes = async (message: IncomingMessage, maximumBytes: number): Promise<Result<Uint8Array, PeerError>> => {
	const collector = createByteCollector();
	try {
		for await (const chunk of message as AsyncIterable<Uint8Array>) {
			if (collector.length() + chunk.length > maximumBytes) {
				return err({kind: 'tooLarge', detail: `body over ${maximumBytes} bytes`});
			}

			collector.append(chunk);
		}
	} catch (error) {
		return err({kind: 'unreachable', detail: describeThrown(error)});
	}

	return ok(collector.bytes());
};

/**
 * Reads a whole body as text.
 *
 * @param message - Request or response.
 * @param maximumBytes - Largest size of the body in bytes.
 * @returns The text; `tooLarge` over the limit, `unreachable` if the transfer ended early.
 */
export const readBody = async (message: IncomingMessage, maximumBytes: number): Promise<Result<string, PeerError>> => {
	const body = await readBytes(message, maximumBytes);
	return body.map(bytes => Buffer.from(bytes).toString('utf8'));
};

/**
 * Reads a whole body as text and decompresses it if it is compressed.
 *
 * @param message - Response.
 * @param maximumBytes - Largest size of the body in bytes, also after decompression.
 * @returns The text and the transferred size; `malformed` if it can't be decompressed within the limit.
 */
export const readEncodedBody = async (message: IncomingMessage, maximumBytes: number): Promise<Result<EncodedBody, PeerError>> => {
	const body = await readBytes(message, maximumBytes);
	if (body.isErr()) {
		return err(body.error);
	}

	const transferredBytes = body.value.length;
	if (message.headers['content-encoding'] !== 'gzip') {
		return ok({text: Buffer.from(body.value).toString('utf8'), transferredBytes});
	}

	try {
		const text = await decompress(body.value, {maxOutputLength: maximumBytes});
		return ok({text: text.toString('utf8'), transferredBytes});
	} catch (error) {
		return err({kind: 'malformed', detail: `compressed body: ${describeThrown(error)}`});
	}
};
