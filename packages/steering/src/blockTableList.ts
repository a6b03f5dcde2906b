/**
 * Parsed client blocks of one address family, in the order of the configuration.
 */
import type {PrefixList} from './blockTableRanges.js';

/** A block in its parsed form. */
export type ParsedBlock = {
	readonly words: readonly number[];
	readonly length: number;
	/** Number of its preference. */
	readonly preference: number;
	/** Index in the configuration. */
	readonly block: number;
};

/** Blocks of the configuration to copy. */
export type BlockRange = {
	readonly from: number;
	readonly to: number;
	/** Added to their indices. */
	readonly shift: number;
};

/** Parsed blocks in typed arrays. */
export type BlockList = {
	readonly add: (block: ParsedBlock) => void;
	/** Adds the blocks of another list whose index in its configuration lies in a range. */
	readonly copy: (from: BlockList, range: BlockRange) => void;
	readonly at: (index: number) => ParsedBlock;
	readonly size: () => number;
	readonly prefixes: () => PrefixList;
	readonly columns: () => Columns;
	/** Memory of the arrays, in bytes. */
	readonly bytes: () => number;
};

/** The arrays of a list, with room for more items than it has. */
export type Columns = {
	readonly networks: Uint32Array;
	readonly lengths: Uint8Array;
	readonly preferences: Uint16Array;
	readonly blocks: Uint32Array;
};

const initialCapacity = 1024;
const growthFactor = 1.5;

const resize = (columns: Columns, capacity: number, width: number): Columns => {
	const larger = {
		networks: new Uint32Array(capacity * width),
		lengths: new Uint8Array(capacity),
		preferences: new Uint16Array(capacity),
		blocks: new Uint32Array(capacity),
	};
	larger.networks.set(columns.networks);
	larger.lengths.set(columns.lengths);
	larger.preferences.set(columns.preferences);
	larger.blocks.set(columns.blocks);
	return larger;
};

/** The first position whose block is not before the given one. */
const lowerBound = (blocks: Uint32Array, count: number, block: number): number => {
	let low = 0;
	let high = count;
	while (low < high) {
		const middle = (low + high) >>> 1; // eslint-disable-line no-bitwise -- integer half
		if (blocks[middle]! < block) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

/**
 * Creates an empty list.
 *
 * @param width - Words of an address: 1 or 4.
 * @returns The list.
 */
export const createBlockList = (width: number): BlockList => {
	let count = 0;
	let columns: Columns = {
		networks: new Uint32Array(initialCapacity * width),
		lengths: new Uint8Array(initialCapacity),
		preferences: new Uint16Array(initialCapacity),
		blocks: new Uint32Array(initialCapacity),
	};

	const reserve = (wanted: number) => {
		const capacity = columns.lengths.length;
		if (wanted > capacity) {
			columns = resize(columns, Math.max(wanted, Math.ceil(capacity * growthFactor)), width);
		}
	};

	return {
		add({words, length, preference, block}) {
			reserve(count + 1);
			columns.networks.set(words, count * width);
			columns.lengths[count] = length;
			columns.preferences[count] = preference;
			columns.blocks[count] = block;
			count += 1;
		},
		copy(from, {from: firstBlock, to, shift}) {
			const source = from.columns();
			const start = lowerBound(source.blocks, from.size(), firstBlock);
			const end = lowerBound(source.blocks, from.size(), to);
			reserve(count + end - start);
			columns.networks.set(source.networks.subarray(start * width, end * width), count * width);
			columns.lengths.set(source.lengths.subarray(start, end), count);
			columns.preferences.set(source.preferences.subarray(start, end), count);
			for (let index = start; index < end; index++) {
				columns.blocks[count + index - start] = source.blocks[index]! + shift;
			}

			count += end - start;
		},
		at: index => ({
			words: [...columns.networks.subarray(index * width, (index + 1) * width)],
			length: columns.lengths[index]!,
			preference: columns.preferences[index]!,
			block: columns.blocks[index]!,
		}),
		size: () => count,
		prefixes: () => ({
			width, count, networks: columns.networks, lengths: columns.lengths,
		}),
		columns: () => columns,
		bytes: () => columns.networks.byteLength + columns.lengths.byteLength + columns.preferences.byteLength + columns.blocks.byteLength,
	};
};
