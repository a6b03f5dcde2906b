/**
 * Content-defined chunking: the items decide where a list is split, so that adding or removing
 * one item usually changes only one or two chunks.
 */
import {placementHash} from '@filbertwell/utils/hash';

/** Chunk sizes in items. */
export type ChunkSizes = {
	readonly minimum: number;
	/** Average number of items beyond the minimum before a chunk ends. */
	readonly typical: number;
	readonly maximum: number;
};

/**
 * Splits a list into chunks.
 *
 * @param items - The list.
 * @param textOf - Returns the text of an item whose hash decides whether a chunk ends after it.
 * @param sizes - Minimum, typical and maximum chunk size.
 * @returns Chunks in list order; none is empty.
 */
export const chunkList = <Item>(items: readonly Item[], textOf: (item: Item) => string, sizes: ChunkSizes): Item[][] => {
	const chunks: Item[][] = [];
	let chunk: Item[] = [];
	for (const item of items) {
		chunk.push(item);
		const isBoundary = chunk.length >= sizes.minimum && placementHash(textOf(item)) % sizes.typical === 0;
		if (isBoundary || chunk.length >= sizes.maximum) {
			chunks.push(chunk);
			chunk = [];
		}
	}

	if (chunk.length > 0) {
		chunks.push(chunk);
	}

	return chunks;
};
