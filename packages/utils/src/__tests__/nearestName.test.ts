import fc from 'fast-check';
import {expect, test} from 'vitest';
import {nearestName} from '../nearestName.js';

test.each([
	{name: 'calers', known: ['callers', 'peers'], expected: 'callers'},
	{name: 'plat', known: ['log', 'platform'], expected: 'platform'},
	{name: 'PORT', known: ['host', 'port'], expected: 'port'},
	{name: '', known: ['a', 'long'], expected: 'a'},
	{name: 'x', known: [], expected: undefined},
])('the name nearest to "$name" is $expected', ({name, known, expected}) => {
	expect(nearestName(name, known)).toBe(expected);
});

test('a known name is its own nearest, however long the list', () => {
	fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 20}), {minLength: 1, selector: name => name.toLowerCase()}), names => {
		expect(nearestName(names.at(-1)!, names)).toBe(names.at(-1));
	}), {seed: 45, numRuns: 200});
});
