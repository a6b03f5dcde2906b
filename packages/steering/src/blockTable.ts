/**
 * Longest-prefix-match table of client blocks.
 */
import type {ClientBlock} from '@filbertwell/types/intent';
import {createParsedBlockList, type ParsedBlockList} from './blockTableList.js';
import {buildRanges, type PrefixRanges} from './blockTableRanges.js';
import {
	formatPrefix, parsePrefix, type AddressFamily, type AddressWords,
} from './lookupAddress.js';

/** Client block that an address matches. */
export type FoundBlock = {
	readonly prefix: string;
	readonly preference: string;
};

/** Index of client blocks by address. */
export type BlockTable = {
	/** Returns the block with the longest prefix that contains the address; `undefined` if none contains it. */
	readonly locate: (address: AddressWords) => FoundBlock | undefined;
	/** Number of blocks. */
	readonly size: number;
	/** Memory used by the arrays, in bytes. */
	readonly bytes: number;
	/** Input of the build, which a later build can reuse. */
	readonly source: BlockSource;
};

/** Client blocks of a configuration with their parsed form. */
export type BlockSource = {
	readonly blocks: readonly ClientBlock[];
	readonly lists: Readonly<Record<AddressFamily, ParsedBlockList>>;
	/** Preference names, indexed by the numbers that the lists store. */
	readonly preferences: readonly string[];
};

type CommonEnds = {
	/** Number of identical blocks at the start of both lists. */
	readonly leadingCount: number;
	/** Number of identical blocks at the end of both lists, apart from the leading ones. */
	readonly trailingCount: number;
};

type ParseJob = {
	readonly blocks: readonly ClientBlock[];
	readonly lists: Readonly<Record<AddressFamily, ParsedBlockList>>;
	readonly numberOf: (preference: string) => number;
};

const itemsPerStep = 64;
const comparisonsPerStep = 4096;

/** Counts the blocks at the start and the end of two lists that are the same objects. */
const findCommonEnds = function * (before: readonly ClientBlock[], after: readonly ClientBlock[]): Generator<void, CommonEnds> {
	const shorter = Math.min(before.length, after.length);
	let leadingCount = 0;
	while (leadingCount < shorter && before[leadingCount] === after[leadingCount]) {
		leadingCount += 1;
		if (leadingCount % comparisonsPerStep === 0) {
			yield;
		}
	}

	let trailingCount = 0;
	while (trailingCount < shorter - leadingCount && before.at(-1 - trailingCount) === after.at(-1 - trailingCount)) {
		trailingCount += 1;
		if (trailingCount % comparisonsPerStep === 0) {
			yield;
		}
	}

	return {leadingCount, trailingCount};
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

/** Parses the blocks from index `from` up to, but not including, `to`. */
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

/** Parses the blocks that differ from an earlier build and copies the parsed form of the others. */
const readBlocks = function * (blocks: readonly ClientBlock[], earlier: BlockSource | undefined): Generator<void, BlockSource> {
	const lists = {ipv4: createParsedBlockList(1), ipv6: createParsedBlockList(4)};
	const numbering = createNumbering(earlier?.preferences ?? []);
	const {leadingCount, trailingCount} = earlier === undefined ? {leadingCount: 0, trailingCount: 0} : yield * findCommonEnds(earlier.blocks, blocks);
	const job: ParseJob = {blocks, lists, numberOf: numbering.numberOf};
	const indexOffset = blocks.length - (earlier?.blocks.length ?? 0);
	for (const family of ['ipv4', 'ipv6'] as const) {
		if (earlier !== undefined) {
			lists[family].copy(earlier.lists[family], {firstBlock: 0, endBlock: leadingCount, indexOffset: 0});
			yield;
		}
	}

	yield * parseBlocks(job, leadingCount, blocks.length - trailingCount);
	for (const family of ['ipv4', 'ipv6'] as const) {
		if (earlier !== undefined) {
			lists[family].copy(earlier.lists[family], {firstBlock: earlier.blocks.length - trailingCount, endBlock: earlier.blocks.length, indexOffset});
			yield;
		}
	}

	return {blocks, lists, preferences: numbering.names()};
};

/**
 * Builds a table in small steps. Skips blocks whose prefix can't be parsed, because the validation
 * of a configuration rejects them.
 *
 * @param blocks - Client blocks in any order.
 * @param earlier - Source of an earlier table; blocks that are the same objects are not parsed again.
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
