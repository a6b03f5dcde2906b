import fc from 'fast-check';
import {expect, test} from 'vitest';
import {divideSlots} from '../slotOwnership.js';
import {endpoint} from './testRouter.js';

const regionOf = (zone: string) => zone[0];
const zones = ['a1', 'a2', 'b1', 'b2', 'c1'];
const entriesOf = (count: number) => Array.from({length: count}, (_, index) => {
	const availabilityZone = zones[index % zones.length]!;
	return {id: `e${index}`, region: availabilityZone[0]!, availabilityZone};
});
const endpointsOf = (slots: readonly number[]) => slots.map((count, index) => endpoint(`u${index}`, {slots: count, availabilityZone: zones[index % zones.length]!}));

test('each slot has exactly one owner, and entries own equal shares, for any sizes', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 9}), fc.array(fc.integer({min: 1, max: 5}), {minLength: 9, maxLength: 14}), (entryCount, slots) => {
		const entries = entriesOf(entryCount);
		const endpoints = endpointsOf(slots);
		const owned = entries.map(({id}) => divideSlots(id, entries, endpoints, regionOf));
		for (const {id, slots: count} of endpoints) {
			const sum = owned.reduce((total, ownedByEntry) => total + (ownedByEntry.get(id)?.slots ?? 0), 0);
			expect(sum).toBe(count);
		}

		const totals = owned.map(ownedByEntry => [...ownedByEntry.values()].reduce((total, {slots: count}) => total + count, 0));
		expect(Math.max(...totals) - Math.min(...totals)).toBeLessThanOrEqual(1);
	}), {seed: 3, numRuns: 100});
});

test('the result does not depend on the order of the entries', () => {
	const entries = entriesOf(8);
	const endpoints = endpointsOf([4, 3, 4, 3, 4, 3]);
	expect([...divideSlots('e3', entries, endpoints, regionOf)]).toStrictEqual([...divideSlots('e3', entries.toReversed(), endpoints, regionOf)]);
});

test('each entry may use one slot when there are more entries than slots', () => {
	const entries = entriesOf(9);
	const endpoints = endpointsOf([1, 1]);
	for (const {id} of entries) {
		const owned = [...divideSlots(id, entries, endpoints, regionOf).values()];
		expect(owned).toStrictEqual([{slots: 1, longSlots: 1}]);
	}
});
