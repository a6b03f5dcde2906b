/**
 * Collects the pieces of a body. Each piece from the network is an object that takes some hundred bytes besides its content,
 * so keeping the pieces of a body that arrives byte by byte would take far more memory than the body.
 */
import {Buffer} from 'node:buffer';

/** Bytes that have been collected. */
export type ByteCollector = {
	/** Adds a piece, which must not be modified afterwards. */
	readonly append: (piece: Uint8Array) => void;
	/** Number of bytes. */
	readonly length: () => number;
	/** Returns all bytes without copying them; nothing may be appended afterwards. */
	readonly bytes: () => Uint8Array;
	/** Decodes all bytes as UTF-8. */
	readonly text: () => string;
};

const minimumCapacity = 1024;

/**
 * Creates an empty collector. Its memory is at most three times the number of bytes, or a few kilobytes.
 *
 * @returns The collector.
 */
export const createByteCollector = (): ByteCollector => {
	let storage: Uint8Array = new Uint8Array(0);
	let length = 0;

	const reserve = (capacity: number) => {
		const larger = Buffer.allocUnsafeSlow(Math.max(capacity, storage.length * 2, minimumCapacity));
		larger.set(storage.subarray(0, length));
		storage = larger;
	};

	return {
		append(piece) {
			if (length === 0) {
				// Most bodies consist of one piece, which is kept as it is.
				storage = piece;
			} else {
				if (length + piece.length > storage.length) {
					reserve(length + piece.length);
				}

				storage.set(piece, length);
			}

			length += piece.length;
		},
		length: () => length,
		bytes: () => storage.subarray(0, length),
		text: () => Buffer.from(storage.buffer, storage.byteOffset, length).toString('utf8'),
	};
};
