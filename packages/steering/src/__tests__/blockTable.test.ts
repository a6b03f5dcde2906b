import {isIP} from 'node:net';
import type {ClientBlock} from '@filbertwell/types/intent';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {buildBlockTable, type BlockTable} from '../blockTable.js';
import {
	formatPrefix, maskWords, parseAddress, parsePrefix, type PrefixWords,
} from '../lookupAddress.js';

const seed = 20_262;

const build = (blocks: readonly ClientBlock[], earlier?: BlockTable): BlockTable => {
	const work = buildBlockTable(blocks, earlier?.source);
	let step = work.next();
	while (!step.done) {
		step = work.next();
	}

	return step.value;
};

/** Few distinct words, so that generated prefixes often nest or share a boundary. */
const word = fc.constantFrom(0, 1, 0x7F_FF_FF_FF, 0x80_00_00_00, 0xFF_FF_FF_FF, 0x0A_00_00_00, 0x0A_01_00_00);

const prefixOf = (width: number) => fc.record({
	words: fc.array(word, {minLength: width, maxLength: width}),
	length: fc.integer({min: 0, max: width * 32}),
}).map(({words, length}): PrefixWords => ({family: width === 1 ? 'ipv4' : 'ipv6', words: maskWords(words, length), length}));

const naiveMatch = (prefixes: readonly PrefixWords[], address: readonly number[]): PrefixWords | undefined => prefixes
	.filter(({words, length}) => maskWords(address, length).join(' ') === words.join(' '))
	.toSorted((a, b) => b.length - a.length)[0];

test.each([['IPv4', 1], ['IPv6', 4]])('the table gives the same result as a naive longest-prefix match for %s', (_, width) => {
	fc.assert(fc.property(
		fc.array(prefixOf(width), {maxLength: 24}),
		fc.array(fc.array(word, {minLength: width, maxLength: width}), {minLength: 1, maxLength: 24}),
		(prefixes, addresses) => {
			const table = build(prefixes.map(prefix => ({prefix: formatPrefix(prefix), preference: `p${prefix.length}`})));
			for (const words of [...addresses, ...prefixes.map(prefix => prefix.words)]) {
				const expected = naiveMatch(prefixes, words);
				const isMapped = width === 4 && words[0] === 0 && words[1] === 0 && words[2] === 0xFF_FF;
				if (!isMapped) {
					expect(table.locate({family: width === 1 ? 'ipv4' : 'ipv6', words})).toEqual(expected && {
						prefix: formatPrefix(expected), preference: `p${expected.length}`,
					});
				}
			}
		},
	), {seed, numRuns: 500});
});

test('a formatted prefix parses to the same prefix', () => {
	fc.assert(fc.property(fc.oneof(prefixOf(1), prefixOf(4)), prefix => {
		expect(parsePrefix(formatPrefix(prefix))._unsafeUnwrap()).toEqual(prefix);
	}), {seed});
});

test('parsing any text as an address or a prefix returns a value or an error and never throws', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.ipV4(), fc.ipV6(), fc.ipV4Extended()), text => {
		const isAddress = isIP(text) !== 0 && !text.includes('%');
		expect(parseAddress(text).isOk()).toBe(isAddress);
		expect(parsePrefix(text).isErr()).toBe(true);
		expect(parsePrefix(`${text}/8`).isOk()).toBe(isAddress);
	}), {seed});
});

test.each(['10.0.0.0', '10.0.0.0/33', '10.0.0.0/', '10.0.0.0/-1', '10.0.0.0/1e1', 'fe80::1%eth0/64', '::/129', '/8', ''])('"%s" is not a valid prefix', text => {
	expect(parsePrefix(text).isErr()).toBe(true);
});

test('an incremental build gives the same table as a full build', () => {
	const block = fc.oneof(prefixOf(1), prefixOf(4)).map((prefix): ClientBlock => ({prefix: formatPrefix(prefix), preference: `p${prefix.length}`}));
	fc.assert(fc.property(
		fc.array(block, {maxLength: 20}),
		fc.array(block, {maxLength: 8}),
		fc.nat(20),
		fc.nat(8),
		(blocks, inserted, at, removed) => {
			const changed = blocks.toSpliced(at, removed, ...inserted);
			const incremental = build(changed, build(blocks));
			const rebuilt = build(changed);
			expect(incremental.size).toBe(rebuilt.size);
			for (const {prefix} of [...blocks, ...inserted]) {
				const address = parsePrefix(prefix)._unsafeUnwrap();
				expect(incremental.locate(address)).toEqual(rebuilt.locate(address));
			}
		},
	), {seed, numRuns: 300});
});
