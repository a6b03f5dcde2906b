import {describe, expect, test} from 'vitest';
import {affinityOrder} from '../affinityOrder.js';

const keys = Array.from({length: 2000}, (_, index) => `key-${index}`);
const places = (count: number) => Array.from({length: count}, (_, index) => ({id: `endpoint-${index}`, weight: 1}));

describe('affinity order', () => {
	test('is the same whatever the order of the places', () => {
		expect(affinityOrder('key', places(6))).toEqual(affinityOrder('key', places(6).toReversed()));
	});

	test('moves only the keys of a place that goes', () => {
		const before = places(7);
		const after = before.slice(1);
		const moved = keys.filter(key => affinityOrder(key, before)[0] !== affinityOrder(key, after)[0]);
		expect(moved.every(key => affinityOrder(key, before)[0] === 'endpoint-0')).toBe(true);
	});

	test('gives each place the part of the keys that its weight says', () => {
		const weighted = [{id: 'small', weight: 1}, {id: 'large', weight: 3}];
		const large = keys.filter(key => affinityOrder(key, weighted)[0] === 'large').length;
		expect(large / keys.length).toBeGreaterThan(0.7);
		expect(large / keys.length).toBeLessThan(0.8);
	});

	test('moves few keys when a weight moves a little', () => {
		const before = [{id: 'home', weight: 0.5}, {id: 'away', weight: 0.5}];
		const after = [{id: 'home', weight: 0.55}, {id: 'away', weight: 0.45}];
		const moved = keys.filter(key => affinityOrder(key, before)[0] !== affinityOrder(key, after)[0]).length;
		expect(moved / keys.length).toBeLessThan(0.08);
	});

	test('puts a place without weight last', () => {
		expect(affinityOrder('key', [{id: 'none', weight: 0}, {id: 'some', weight: 0.01}])).toEqual(['some', 'none']);
	});
});
