/**
 * Cuts a list at places that its content decides, so that one more or one less item changes
 * one or two chunks and no others.
 */
import {placementHash} from '@filbertwell/utils/hash';

/** Sizes of chunks, in items. */
export type ChunkSizes = {
	readonly minimum: number;
	/** Distance between cuts on average, beyond the minimum. */
	readonly typical: number;
	readonly maximum: number;
};

/**
 * Cuts a list into chunks.
 *
 * @param items - The list.
 * @param nameOf - Text of an item that decides whether a chunk ends with it.
 * @param sizes - Sizes of chunks.
 * @returns Chunks in order; none is empty.
 */
export const chunkList = <Item>(items: readonly Item[], nameOf: (item: Item) => string, sizes: ChunkSizes): Item[][] => {
	const chunks: Item[][] = [];
	let chunk: Item[] = [];
	for (const item of items) {
		chunk.push(item);
		const cutsHere = chunk.length >= sizes.minimum && placementHash(nameOf(item)) % sizes.typical === 0;
		if (cutsHere || chunk.length >= sizes.maximum) {
			chunks.push(chunk);
			chunk = [];
		}
	}

	if (chunk.length > 0) {
		chunks.push(chunk);
	}

	return chunks;
};
