import {expect, test} from 'vitest';
import {flowFromRegion, type RegionCapacity} from '../regionFlow.js';

const capacity = (region: string, changes: Partial<RegionCapacity> = {}): RegionCapacity => ({
	region, slots: 10, maximumShare: 1, requestedShare: undefined, demand: 1 / 3, ...changes,
});

const fractions = (origin: string, capacities: readonly RegionCapacity[]) => {
	const flow = flowFromRegion(origin, capacities);
	return Object.fromEntries(flow.map(({region, fraction}) => [region, Number(fraction.toFixed(4))]));
};

test.each([
	['traffic stays in its region without limits', 'a', {}, {}, {a: 1, b: 0, c: 0}],
	['traffic of a region without usable slots goes to the others in proportion to their slots', 'a', {slots: 0}, {slots: 30}, {a: 0, b: 0.75, c: 0.25}],
	['other regions keep their own traffic while one has no usable slots', 'b', {slots: 0}, {}, {a: 0, b: 1, c: 0}],
	['traffic above the maximum share of a region goes to the others', 'a', {maximumShare: 1 / 6}, {}, {a: 0.5, b: 0.25, c: 0.25}],
	['excess traffic does not exceed the maximum shares of the other regions', 'a', {slots: 0}, {maximumShare: 1 / 3}, {a: 0, b: 0, c: 1}],
	['a requested share above the demand takes traffic from regions without one', 'a', {}, {requestedShare: 2 / 3}, {a: 0.5, b: 0.5, c: 0}],
	['traffic above a requested share below the demand goes to the others', 'a', {requestedShare: 0}, {}, {a: 0, b: 0.5, c: 0.5}],
	['a region without demand keeps its own traffic', 'a', {demand: 0}, {demand: 2 / 3}, {a: 1, b: 0, c: 0}],
])('%s', (_name, origin, changesOfA, changesOfB, expected) => {
	expect(fractions(origin, [capacity('a', changesOfA), capacity('b', changesOfB), capacity('c')])).toEqual(expected);
});

test('the fraction that no region may take is omitted and must be refused', () => {
	const flow = flowFromRegion('a', [capacity('a', {slots: 0}), capacity('b', {maximumShare: 0.4}), capacity('c', {maximumShare: 0.4})]);
	const total = flow.reduce((sum, {fraction}) => sum + fraction, 0);
	expect(total).toBeCloseTo((0.8 - (2 / 3)) / (1 / 3), 6);
});
