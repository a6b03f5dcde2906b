import type {Member} from '@filbertwell/types/member';
import {describe, expect, test} from 'vitest';
import {createNearbyInstanceSelector} from '../nearbyInstances.js';

const member = (id: string, availabilityZone: string, overrides: Partial<Member> = {}): Member => ({
	id,
	role: 'entry',
	incarnation: 1,
	region: availabilityZone.split('-')[0]!,
	availabilityZone,
	site: availabilityZone,
	callerAddress: {host: id, port: 80},
	peerAddress: {host: id, port: 81},
	state: 'serving',
	health: 'alive',
	configurationVersion: 1,
	load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
	...overrides,
});

const place = {region: 'north', availabilityZone: 'north-b'};

const withRequestRate = (requestsPerSecond: number): Partial<Member> => ({load: {inFlight: 0, queued: 0, requestsPerSecond}});

const select = (members: readonly Member[], clock = () => 0) => createNearbyInstanceSelector({clock, maximum: 16})(members, place);

describe('selection of instances', () => {
	test('returns the instances of the caller\'s region, those in its zone first', () => {
		expect(select([member('a', 'north-a'), member('b', 'north-b'), member('c', 'south-a')])).toEqual(['b:80', 'a:80']);
	});

	test('returns the instances of other regions if the caller\'s region has none', () => {
		expect(select([member('c', 'south-a'), member('d', 'west-a')])).toEqual(['c:80', 'd:80']);
		expect(select([])).toEqual([]);
	});

	test.each([
		['leaving', {state: 'leaving'}],
		['starting', {state: 'starting'}],
		['silent', {health: 'suspect'}],
	] satisfies ReadonlyArray<readonly [string, Partial<Member>]>)('never returns an instance that is %s', (_, overrides) => {
		expect(select([member('a', 'north-a', overrides), member('b', 'north-b')])).toEqual(['b:80']);
	});

	test('in a large region of equal instances, returns all instances in the caller\'s zone before others', () => {
		const members = Array.from({length: 27}, (_, index) => member(`i${index}`, index % 2 === 0 ? 'north-a' : 'north-b'));
		const selected = select(members);
		expect(selected).toHaveLength(16);
		expect(selected.slice(0, 13).every(address => Number(/\d+/u.exec(address)![0]) % 2 === 1)).toBe(true);
	});
});

/** A few large instances and many small ones with little bandwidth. */
describe('with instances of two sizes', () => {
	const large = ['a', 'b'].flatMap(zone => [1, 2].map(index => member(`large-${zone}${index}`, `north-${zone}`, {capacity: 1.35})));
	const small = ['a', 'b'].flatMap(zone => Array.from({length: 12}, (_, index) => member(`small-${zone}${index}`, `north-${zone}`, {capacity: 0.27})));

	test('returns only the large ones under normal demand', () => {
		expect(select([...small, ...large])).toEqual(['large-b1:80', 'large-b2:80', 'large-a1:80', 'large-a2:80']);
	});

	test('adds the small ones under high demand and keeps them while the demand fluctuates', () => {
		let nowMs = 0;
		const selectInstances = createNearbyInstanceSelector({clock: () => nowMs, maximum: 16});
		const underLoad = [...small, ...large.map(each => ({...each, ...withRequestRate(450)}))];
		expect(selectInstances(underLoad, place)).toHaveLength(16);
		nowMs = 3000;
		expect(selectInstances([...small, ...large.map(each => ({...each, ...withRequestRate(380)}))], place)).toHaveLength(16);
		nowMs = 60_000;
		expect(selectInstances([...small, ...large], place)).toHaveLength(4);
	});

	test('adds small ones if too few large ones are left', () => {
		const selected = select([...small, large[0]!]);
		expect(selected).toHaveLength(3);
		expect(selected).toContain('large-a1:80');
	});
});
