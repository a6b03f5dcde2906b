/**
 * Longest-prefix table of client blocks.
 */
import type {ClientBlock} from '@filbertwell/types/intent';
import {createBlockList, type BlockList} from './blockTableList.js';
import {buildRanges, type PrefixRanges} from './blockTableRanges.js';
import {
	formatPrefix, parsePrefix, type AddressFamily, type AddressWords,
} from './lookupAddress.js';

/** The block that an address belongs to. */
export type FoundBlock = {
	readonly prefix: string;
	readonly preference: string;
};

/** Client blocks by address. */
export type BlockTable = {
	/** The longest block that holds the address. */
	readonly locate: (address: AddressWords) => FoundBlock | undefined;
	readonly size: number;
	/** Memory of the arrays, in bytes. */
	readonly bytes: number;
	/** What the table was built from, for the next build. */
	readonly source: BlockSource;
};

/** Blocks with their parsed form. */
export type BlockSource = {
	readonly blocks: readonly ClientBlock[];
	readonly lists: Readonly<Record<AddressFamily, BlockList>>;
	/** Names of preferences by their numbers in the lists. */
	readonly preferences: readonly string[];
};

type Overlap = {
	/** Blocks that both have at their beginning. */
	readonly first: number;
	/** Blocks that both have at their end. */
	readonly last: number;
};

type ParseJob = {
	readonly blocks: readonly ClientBlock[];
	readonly lists: Readonly<Record<AddressFamily, BlockList>>;
	readonly numberOf: (preference: string) => number;
};

const itemsPerStep = 64;
const comparisonsPerStep = 4096;

/** Finds the identical objects at both ends of two lists. */
const findOverlap = function * (before: readonly ClientBlock[], after: readonly ClientBlock[]): Generator<void, Overlap> {
	const shorter = Math.min(before.length, after.length);
	let first = 0;
	while (first < shorter && before[first] === after[first]) {
		first += 1;
		if (first % comparisonsPerStep === 0) {
			yield;
		}
	}

	let last = 0;
	while (last < shorter - first && before.at(-1 - last) === after.at(-1 - last)) {
		last += 1;
		if (last % comparisonsPerStep === 0) {
			yield;
		}
	}

	return {first, last};
};

const createNumbering = (names: readonly string[]) => {
	const numbers = new Map(names.map((name, number) => [name, number]));
	return {
		numberOf(name: string): number {
			const number = numbers.get(name) ?? numbers.size;
			numbers.set(name, number);
			return number;
		},
		names: () => [...numbers.keys()],
	};
};

/** Parses blocks from one index up to another. */
const parseBlocks = function * ({blocks, lists, numberOf}: ParseJob, from: number, to: number): Generator<void, void> {
	for (let index = from; index < to; index++) {
		const {prefix, preference} = blocks[index]!;
		const parsed = parsePrefix(prefix);
		if (parsed.isOk()) {
			const {family, words, length} = parsed.value;
			lists[family].add({
				words, length, preference: numberOf(preference), block: index,
			});
		}

		if (index % itemsPerStep === 0) {
			yield;
		}
	}
};

/** Parses the blocks that an earlier table lacks and copies the rest from it. */
const readBlocks = function * (blocks: readonly ClientBlock[], earlier: BlockSource | undefined): Generator<void, BlockSource> {
	const lists = {ipv4: createBlockList(1), ipv6: createBlockList(4)};
	const numbering = createNumbering(earlier?.preferences ?? []);
	const {first, last} = earlier === undefined ? {first: 0, last: 0} : yield * findOverlap(earlier.blocks, blocks);
	const job: ParseJob = {blocks, lists, numberOf: numbering.numberOf};
	const shift = blocks.length - (earlier?.blocks.length ?? 0);
	for (const family of ['ipv4', 'ipv6'] as const) {
		if (earlier !== undefined) {
			lists[family].copy(earlier.lists[family], {from: 0, to: first, shift: 0});
			yield;
		}
	}

	yield * parseBlocks(job, first, blocks.length - last);
	for (const family of ['ipv4', 'ipv6'] as const) {
		if (earlier !== undefined) {
			lists[family].copy(earlier.lists[family], {from: earlier.blocks.length - last, to: earlier.blocks.length, shift});
			yield;
		}
	}

	return {blocks, lists, preferences: numbering.names()};
};

/**
 * Builds a table in small steps. Blocks whose prefix can't be parsed are left out: a
 * configuration that has one does not pass its checks.
 *
 * @param blocks - Client blocks in any order.
 * @param earlier - What an earlier table was built from; blocks that are the same objects are not parsed again.
 * @returns A generator that yields between steps and returns the table.
 */
export const buildBlockTable = function * (blocks: readonly ClientBlock[], earlier?: BlockSource): Generator<void, BlockTable> {
	const source = yield * readBlocks(blocks, earlier);
	const {lists, preferences} = source;
	const ranges: Record<AddressFamily, PrefixRanges> = {
		ipv4: yield * buildRanges(lists.ipv4.prefixes()),
		ipv6: yield * buildRanges(lists.ipv6.prefixes()),
	};

	return {
		source,
		size: lists.ipv4.size() + lists.ipv6.size(),
		bytes: lists.ipv4.bytes() + lists.ipv6.bytes() + ranges.ipv4.bytes + ranges.ipv6.bytes,
		locate({family, words}) {
			const index = ranges[family].locate(words);
			if (index < 0) {
				return undefined;
			}

			const found = lists[family].at(index);
			return {prefix: formatPrefix(found), preference: preferences[found.preference]!};
		},
	};
};
