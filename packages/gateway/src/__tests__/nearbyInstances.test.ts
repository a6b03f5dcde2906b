import type {Member} from '@filbertwell/types/member';
import {describe, expect, test} from 'vitest';
import {createNearbyInstances} from '../nearbyInstances.js';

const member = (id: string, availabilityZone: string, more: Partial<Member> = {}): Member => ({
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
	...more,
});

const place = {region: 'north', availabilityZone: 'north-b'};

const busy = (requestsPerSecond: number): Partial<Member> => ({load: {inFlight: 0, queued: 0, requestsPerSecond}});

const choose = (members: readonly Member[], clock = () => 0) => createNearbyInstances({clock, maximum: 16})(members, place);

describe('a look-up', () => {
	test('names the instances of the caller\'s region, own zone first', () => {
		expect(choose([member('a', 'north-a'), member('b', 'north-b'), member('c', 'south-a')])).toEqual(['b:80', 'a:80']);
	});

	test('names all others where the region has none', () => {
		expect(choose([member('c', 'south-a'), member('d', 'west-a')])).toEqual(['c:80', 'd:80']);
		expect(choose([])).toEqual([]);
	});

	test.each([
		['leaving', {state: 'leaving'}],
		['starting', {state: 'starting'}],
		['silent', {health: 'suspect'}],
	] satisfies ReadonlyArray<readonly [string, Partial<Member>]>)('never names one that is %s', (_, more) => {
		expect(choose([member('a', 'north-a', more), member('b', 'north-b')])).toEqual(['b:80']);
	});

	test('names every zone\'s instances of a large region of equals, not the first ones of a list', () => {
		const members = Array.from({length: 27}, (_, index) => member(`i${index}`, index % 2 === 0 ? 'north-a' : 'north-b'));
		const named = choose(members);
		expect(named).toHaveLength(16);
		expect(named.slice(0, 13).every(address => Number(/\d+/u.exec(address)![0]) % 2 === 1)).toBe(true);
	});
});

/** Unequal instances: a few large ones and many small ones with thin links. */
describe('with instances of two sizes', () => {
	const large = ['a', 'b'].flatMap(zone => [1, 2].map(index => member(`large-${zone}${index}`, `north-${zone}`, {capacity: 1.35})));
	const small = ['a', 'b'].flatMap(zone => Array.from({length: 12}, (_, index) => member(`small-${zone}${index}`, `north-${zone}`, {capacity: 0.27})));

	test('the large ones carry the usual traffic', () => {
		expect(choose([...small, ...large])).toEqual(['large-b1:80', 'large-b2:80', 'large-a1:80', 'large-a2:80']);
	});

	test('the small ones join when the traffic presses, and stay through its waves', () => {
		let nowMs = 0;
		const nearby = createNearbyInstances({clock: () => nowMs, maximum: 16});
		const pressed = [...small, ...large.map(each => ({...each, ...busy(450)}))];
		expect(nearby(pressed, place)).toHaveLength(16);
		nowMs = 3000;
		expect(nearby([...small, ...large.map(each => ({...each, ...busy(380)}))], place)).toHaveLength(16);
		nowMs = 60_000;
		expect(nearby([...small, ...large], place)).toHaveLength(4);
	});

	test('small ones fill up where too few large ones are left', () => {
		const named = choose([...small, large[0]!]);
		expect(named).toHaveLength(3);
		expect(named).toContain('large-a1:80');
	});
});
