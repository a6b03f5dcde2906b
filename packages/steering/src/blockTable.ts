/**
 * Longest-prefix table of client blocks.
 */
import type {ClientBlock} from '@filbertwell/types/intent';
import {
	formatPrefix, parsePrefix, type AddressFamily, type AddressWords,
} from './lookupAddress.js';
import {buildRanges, type PrefixList, type PrefixRanges} from './blockTableRanges.js';

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
};

type FamilyTable = {
	readonly list: PrefixList;
	readonly preferences: Uint16Array;
	readonly ranges: PrefixRanges;
};

type FamilyBuilder = {
	readonly add: (words: readonly number[], length: number, preference: number) => void;
	readonly build: () => Generator<void, FamilyTable>;
};

const itemsPerStep = 64;
const initialCapacity = 1024;

const grow = <Values extends Uint32Array | Uint8Array | Uint16Array>(values: Values, create: (size: number) => Values): Values => {
	const larger = create(values.length * 2);
	larger.set(values);
	return larger;
};

const createFamilyBuilder = (width: number): FamilyBuilder => {
	let networks = new Uint32Array(initialCapacity * width);
	let lengths = new Uint8Array(initialCapacity);
	let preferences = new Uint16Array(initialCapacity);
	let count = 0;

	return {
		add(words, length, preference) {
			if (count === lengths.length) {
				networks = grow(networks, size => new Uint32Array(size));
				lengths = grow(lengths, size => new Uint8Array(size));
				preferences = grow(preferences, size => new Uint16Array(size));
			}

			networks.set(words, count * width);
			lengths[count] = length;
			preferences[count] = preference;
			count += 1;
		},
		* build() {
			const list: PrefixList = {
				width, count, networks: networks.slice(0, count * width), lengths: lengths.slice(0, count),
			};
			const ranges = yield * buildRanges(list);
			return {list, preferences: preferences.slice(0, count), ranges};
		},
	};
};

const findIn = ({list, preferences, ranges}: FamilyTable, names: readonly string[], words: readonly number[]): FoundBlock | undefined => {
	const index = ranges.locate(words);
	if (index < 0) {
		return undefined;
	}

	const start = index * list.width;
	return {
		prefix: formatPrefix({words: [...list.networks.subarray(start, start + list.width)], length: list.lengths[index]!}),
		preference: names[preferences[index]!]!,
	};
};

const bytesOf = ({list, preferences, ranges}: FamilyTable): number => list.networks.byteLength
	+ list.lengths.byteLength + preferences.byteLength + ranges.bytes;

/** Numbers names in the order in which they are first seen. */
const createNames = () => {
	const numbers = new Map<string, number>();
	return {
		numberOf(name: string): number {
			const number = numbers.get(name) ?? numbers.size;
			numbers.set(name, number);
			return number;
		},
		all: () => [...numbers.keys()],
	};
};

/**
 * Builds a table in small steps. Blocks whose prefix can't be parsed are left out: a
 * configuration that has one does not pass its checks.
 *
 * @param blocks - Client blocks in any order.
 * @returns A generator that yields between steps and returns the table.
 */
export const buildBlockTable = function * (blocks: readonly ClientBlock[]): Generator<void, BlockTable> {
	const builders: Record<AddressFamily, FamilyBuilder> = {ipv4: createFamilyBuilder(1), ipv6: createFamilyBuilder(4)};
	const names = createNames();
	for (const [index, {prefix, preference}] of blocks.entries()) {
		const parsed = parsePrefix(prefix);
		if (parsed.isOk()) {
			builders[parsed.value.family].add(parsed.value.words, parsed.value.length, names.numberOf(preference));
		}

		if (index % itemsPerStep === 0) {
			yield;
		}
	}

	const tables: Record<AddressFamily, FamilyTable> = {
		ipv4: yield * builders.ipv4.build(),
		ipv6: yield * builders.ipv6.build(),
	};
	const allNames = names.all();
	return {
		size: tables.ipv4.list.count + tables.ipv6.list.count,
		bytes: bytesOf(tables.ipv4) + bytesOf(tables.ipv6),
		locate: ({family, words}) => findIn(tables[family], allNames, words),
	};
};
