/**
 * Keeps parts that were offered until they are used, within a bound of bytes.
 */
import {contentHash} from '@filbertwell/utils/hash';

/** Cache of parts by content hash; the oldest go first. */
export type PartCache = {
	readonly add: (content: string) => void;
	readonly get: (hash: string) => string | undefined;
	readonly clear: () => void;
	/** Characters held. */
	readonly size: () => number;
};

/**
 * Creates an empty cache.
 *
 * @param maximumCharacters - Most characters that it holds; a larger part is not kept.
 * @returns The cache.
 */
export const createPartCache = (maximumCharacters: number): PartCache => {
	const contents = new Map<string, string>();
	let size = 0;

	const drop = (hash: string) => {
		size -= contents.get(hash)?.length ?? 0;
		contents.delete(hash);
	};

	return {
		add(content) {
			if (content.length > maximumCharacters) {
				return;
			}

			const hash = contentHash(content);
			drop(hash);
			contents.set(hash, content);
			size += content.length;
			for (const oldest of contents.keys()) {
				if (size <= maximumCharacters) {
					return;
				}

				drop(oldest);
			}
		},
		get: hash => contents.get(hash),
		clear() {
			contents.clear();
			size = 0;
		},
		size: () => size,
	};
};
