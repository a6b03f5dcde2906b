/**
 * Parsed client blocks of one address family, in the order of the configuration.
 */
import type {PrefixList} from './blockTableRanges.js';

/** Parsed client block. */
export type ParsedBlock = {
	/** Network address as 32-bit words. */
	readonly words: readonly number[];
	/** Prefix length in bits. */
	readonly length: number;
	/** Number of the block's site preference. */
	readonly preference: number;
	/** Index of the block in the configuration. */
	readonly block: number;
};

/** Range of configuration indices to copy; `endBlock` is exclusive. */
export type BlockRange = {
	readonly firstBlock: number;
	readonly endBlock: number;
	/** Number that is added to the configuration index of each copied block. */
	readonly indexOffset: number;
};

/** Append-only list of parsed blocks in typed arrays. */
export type ParsedBlockList = {
	readonly add: (block: ParsedBlock) => void;
	/** Appends the blocks of another list whose configuration index is in the range. */
	readonly copy: (from: ParsedBlockList, range: BlockRange) => void;
	readonly at: (index: number) => ParsedBlock;
	readonly size: () => number;
	readonly prefixes: () => PrefixList;
	readonly columns: () => Columns;
	/** Memory used by the arrays, in bytes. */
	readonly bytes: () => number;
};

/** Arrays of a list. Their capacity may exceed the size of the list. */
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

/** Returns the first position whose configuration index is at least `block`; `count` if there is none. */
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
 * @param width - Number of 32-bit words in an address: 1 for IPv4, 4 for IPv6.
 * @returns The list.
 */
export const createParsedBlockList = (width: number): ParsedBlockList => {
	let count = 0;
	let columns: Columns = {
		networks: new Uint32Array(initialCapacity * width),
		lengths: new Uint8Array(initialCapacity),
		preferences: new Uint16Array(initialCapacity),
		blocks: new Uint32Array(initialCapacity),
	};

	const reserve = (requiredCapacity: number) => {
		const capacity = columns.lengths.length;
		if (requiredCapacity > capacity) {
			columns = resize(columns, Math.max(requiredCapacity, Math.ceil(capacity * growthFactor)), width);
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
		copy(from, {firstBlock, endBlock, indexOffset}) {
			const source = from.columns();
			const start = lowerBound(source.blocks, from.size(), firstBlock);
			const end = lowerBound(source.blocks, from.size(), endBlock);
			reserve(count + end - start);
			columns.networks.set(source.networks.subarray(start * width, end * width), count * width);
			columns.lengths.set(source.lengths.subarray(start, end), count);
			columns.preferences.set(source.preferences.subarray(start, end), count);
			for (let index = start; index < end; index++) {
				columns.blocks[count + index - start] = source.blocks[index]! + indexOffset;
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
