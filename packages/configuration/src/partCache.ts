/**
 * Caches the parts of offers until they are used, up to a limit in characters.
 */
import {contentHash} from '@filbertwell/utils/hash';

/** Cache of parts by content hash; evicts the oldest parts first. */
export type PartCache = {
	readonly add: (content: string) => void;
	readonly get: (hash: string) => string | undefined;
	readonly clear: () => void;
	/** Total characters of the cached parts. */
	readonly size: () => number;
};

/**
 * Creates an empty cache.
 *
 * @param maximumCharacters - Capacity in characters; a part larger than that is not cached.
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
