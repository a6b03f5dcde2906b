import {describe, expect, test} from 'vitest';
import {affinityOrder} from '../affinityOrder.js';

const keys = Array.from({length: 2000}, (_, index) => `key-${index}`);
const createNodes = (count: number) => Array.from({length: count}, (_, index) => ({id: `endpoint-${index}`, weight: 1}));

describe('affinity order', () => {
	test('does not depend on the order of the nodes', () => {
		expect(affinityOrder('key', createNodes(6))).toEqual(affinityOrder('key', createNodes(6).toReversed()));
	});

	test('moves only the keys of a removed node', () => {
		const before = createNodes(7);
		const after = before.slice(1);
		const moved = keys.filter(key => affinityOrder(key, before)[0] !== affinityOrder(key, after)[0]);
		expect(moved.every(key => affinityOrder(key, before)[0] === 'endpoint-0')).toBe(true);
	});

	test('distributes the keys in proportion to the weights', () => {
		const weighted = [{id: 'small', weight: 1}, {id: 'large', weight: 3}];
		const large = keys.filter(key => affinityOrder(key, weighted)[0] === 'large').length;
		expect(large / keys.length).toBeGreaterThan(0.7);
		expect(large / keys.length).toBeLessThan(0.8);
	});

	test('moves few keys after a small change of a weight', () => {
		const before = [{id: 'home', weight: 0.5}, {id: 'away', weight: 0.5}];
		const after = [{id: 'home', weight: 0.55}, {id: 'away', weight: 0.45}];
		const moved = keys.filter(key => affinityOrder(key, before)[0] !== affinityOrder(key, after)[0]).length;
		expect(moved / keys.length).toBeLessThan(0.08);
	});

	test('puts a node with a weight of 0 last', () => {
		expect(affinityOrder('key', [{id: 'none', weight: 0}, {id: 'some', weight: 0.01}])).toEqual(['some', 'none']);
	});
});
