import fc from 'fast-check';
import {expect, test} from 'vitest';
import {nearestName} from '../nearestName.js';

test.each([
	{name: 'calers', candidates: ['callers', 'peers'], expected: 'callers'},
	{name: 'plat', candidates: ['log', 'platform'], expected: 'platform'},
	{name: 'PORT', candidates: ['host', 'port'], expected: 'port'},
	{name: '', candidates: ['a', 'long'], expected: 'a'},
	{name: 'x', candidates: [], expected: undefined},
])('the name nearest to "$name" is $expected', ({name, candidates, expected}) => {
	expect(nearestName(name, candidates)).toBe(expected);
});

test('a name that is in the list is its own nearest name', () => {
	fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 20}), {minLength: 1, selector: name => name.toLowerCase()}), names => {
		expect(nearestName(names.at(-1)!, names)).toBe(names.at(-1));
	}), {seed: 45, numRuns: 200});
});
