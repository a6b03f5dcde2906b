/**
 * Flattens the prefixes of one address family into disjoint address ranges in typed arrays.
 */

/** Sorted address ranges. Each ends where the next one starts and refers to the longest prefix that covers it. */
export type PrefixRanges = {
	/** Returns the index of the longest prefix that contains the address; -1 if none contains it. */
	readonly locate: (address: readonly number[]) => number;
	/** Memory used by the arrays, in bytes. */
	readonly bytes: number;
};

/** Prefixes to flatten. */
export type PrefixList = {
	/** Number of 32-bit words in an address: 1 for IPv4, 4 for IPv6. */
	readonly width: number;
	readonly count: number;
	/** Network addresses, `width` words per prefix. */
	readonly networks: Uint32Array;
	/** Prefix lengths in bits. */
	readonly lengths: Uint8Array;
};

const bitsPerWord = 32;
const itemsPerStep = 256;
const noPrefix = -1;

type Compare = (a: number, b: number) => number;

const createCompare = ({width, networks, lengths}: PrefixList): Compare => (a, b) => {
	for (let word = 0; word < width; word++) {
		const difference = networks[(a * width) + word]! - networks[(b * width) + word]!;
		if (difference !== 0) {
			return difference;
		}
	}

	return (lengths[a]! - lengths[b]!) || (a - b);
};

/** Merges two adjacent sorted runs. Yields every `itemsPerStep` items so that the caller can pause. */
const mergeRuns = function * (from: Uint32Array, to: Uint32Array, bounds: readonly [number, number, number], compare: Compare): Generator<void, void> {
	const [start, middle, end] = bounds;
	let left = start;
	let right = middle;
	for (let at = start; at < end; at++) {
		const isLeftNext = left < middle && (right >= end || compare(from[left]!, from[right]!) <= 0);
		to[at] = isLeftNext ? from[left++]! : from[right++]!;
		if (at % itemsPerStep === 0) {
			yield;
		}
	}
};

/** Sorts the indices of prefixes by network address; of equal addresses, the shorter prefix comes first. */
const sortedOrder = function * (list: PrefixList): Generator<void, Uint32Array> {
	const compare = createCompare(list);
	let from = new Uint32Array(list.count);
	let isSorted = true;
	for (let index = 0; index < list.count; index++) {
		from[index] = index;
		isSorted &&= index === 0 || compare(index - 1, index) < 0;
		if (index % itemsPerStep === 0) {
			yield;
		}
	}

	if (isSorted) {
		return from;
	}

	let to = new Uint32Array(list.count);
	for (let run = 1; run < list.count; run *= 2) {
		for (let start = 0; start < list.count; start += 2 * run) {
			const middle = Math.min(start + run, list.count);
			const end = Math.min(start + (2 * run), list.count);
			yield * mergeRuns(from, to, [start, middle, end], compare);
		}

		[from, to] = [to, from];
	}

	return from;
};

/** Writes the first address after a prefix to `successor`. Returns `false` if the prefix reaches the end of the address space. */
const writeSuccessor = (list: PrefixList, index: number, successor: Uint32Array): boolean => {
	const {width, networks, lengths} = list;
	const length = lengths[index]!;
	let hasCarry = length > 0;
	for (let word = width - 1; word >= 0; word--) {
		const value = networks[(index * width) + word]!;
		const hostBits = Math.min(Math.max(((word + 1) * bitsPerWord) - length, 0), bitsPerWord);
		const isAllHost = hostBits === bitsPerWord;
		const next = isAllHost ? value : value + (hasCarry ? 2 ** hostBits : 0);
		successor[word] = next;
		hasCarry &&= isAllHost || next > 0xFF_FF_FF_FF;
	}

	return length > 0 && !hasCarry;
};

const compareWords = (a: Uint32Array, aAt: number, b: ArrayLike<number>, bAt: number, width: number): number => { // eslint-disable-line max-params -- hot path without allocation
	for (let word = 0; word < width; word++) {
		const difference = a[aAt + word]! - b[bAt + word]!;
		if (difference !== 0) {
			return difference;
		}
	}

	return 0;
};

type RangeWriter = {
	readonly write: (source: Uint32Array, at: number, prefix: number) => void;
	readonly finish: () => {readonly starts: Uint32Array; readonly prefixes: Int32Array};
};

const createRangeWriter = ({width, count}: PrefixList): RangeWriter => {
	const starts = new Uint32Array(((2 * count) + 1) * width);
	const prefixes = new Int32Array((2 * count) + 1);
	let written = 0;
	return {
		write(source, at, prefix) {
			const replacesLast = written > 0 && compareWords(starts, (written - 1) * width, source, at, width) === 0;
			if (replacesLast) {
				written -= 1;
			}

			if (written > 0 && prefixes[written - 1] === prefix) {
				return;
			}

			for (let word = 0; word < width; word++) {
				starts[(written * width) + word] = source[at + word]!;
			}

			prefixes[written] = prefix;
			written += 1;
		},
		finish: () => ({starts: starts.slice(0, written * width), prefixes: prefixes.slice(0, written)}),
	};
};

/**
 * Visits the prefixes in sorted order with a stack of the prefixes that enclose the current one,
 * and starts a range wherever the innermost prefix changes.
 */
const flatten = function * (list: PrefixList, order: Uint32Array): Generator<void, ReturnType<RangeWriter['finish']>> {
	const {width, networks} = list;
	const writer = createRangeWriter(list);
	const enclosing: number[] = [];
	const successor = new Uint32Array(width);

	/** Pops the innermost prefix if it ends before the prefix `nextPrefix` starts or `nextPrefix` is `undefined`; returns whether it did. */
	const closeInnermost = (nextPrefix: number | undefined): boolean => {
		const innermost = enclosing.at(-1);
		if (innermost === undefined) {
			return false;
		}

		const hasSuccessor = writeSuccessor(list, innermost, successor);
		const isStillOpen = nextPrefix !== undefined && (!hasSuccessor || compareWords(successor, 0, networks, nextPrefix * width, width) > 0);
		if (isStillOpen) {
			return false;
		}

		enclosing.pop();
		if (hasSuccessor) {
			writer.write(successor, 0, enclosing.at(-1) ?? noPrefix);
		}

		return true;
	};

	const closeAll = (nextPrefix: number | undefined) => {
		let hasClosed = true;
		while (hasClosed) {
			hasClosed = closeInnermost(nextPrefix);
		}
	};

	for (const [at, element] of order.entries()) {
		const index = element;
		closeAll(index);
		writer.write(networks, index * width, index);
		enclosing.push(index);
		if (at % itemsPerStep === 0) {
			yield;
		}
	}

	closeAll(undefined);
	return writer.finish();
};

/**
 * Flattens prefixes into ranges in small steps.
 *
 * @param list - Prefixes in any order; of equal prefixes the last one takes precedence.
 * @returns A generator that yields between steps and returns the ranges.
 */
export const buildRanges = function * (list: PrefixList): Generator<void, PrefixRanges> {
	const {width} = list;
	const order = yield * sortedOrder(list);
	const {starts, prefixes} = yield * flatten(list, order);

	return {
		bytes: starts.byteLength + prefixes.byteLength,
		locate(address) {
			let low = 0;
			let high = prefixes.length;
			while (low < high) {
				const middle = (low + high) >>> 1; // eslint-disable-line no-bitwise -- integer half
				if (compareWords(starts, middle * width, address, 0, width) <= 0) {
					low = middle + 1;
				} else {
					high = middle;
				}
			}

			return low === 0 ? noPrefix : prefixes[low - 1]!;
		},
	};
};
