import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {describe, expect, test} from 'vitest';
import type {DispatchedRequest} from '../dispatchedRequest.js';
import {createDispatcher} from '../dispatcher.js';
import {registeredById, sampleEndpoint, sampleRoute} from './dispatchFixture.js';

const zones = new Map([['south-a', 'south'], ['south-b', 'south'], ['north-a', 'north']]);

const createFixture = (endpoints: ReadonlyArray<ReturnType<typeof sampleEndpoint>>, evacuated: readonly string[] = []) => {
	const clock = createManualClock(1000);
	const dispatcher = createDispatcher({
		clock: clock.now,
		random: createRandom(9),
		self: {id: 'instance-1', region: 'south', availabilityZone: 'south-a'},
		regionOfZone: () => zones,
		instances: () => [{id: 'instance-1', region: 'south', requestsPerSecond: 10}],
		knowsPeers: () => true,
		serviceOf: () => undefined,
		largestShift: () => 0.15,
	});
	dispatcher.configure(registeredById(endpoints), new Set(evacuated));
	const request = (more: Partial<DispatchedRequest> = {}): DispatchedRequest => ({
		route: sampleRoute, service: 'inventory', affinityKey: 'a', targetAtMs: clock.now() + 600, deadlineAtMs: clock.now() + 1200, tried: new Set(), ...more,
	});
	const chosen = (more: Partial<DispatchedRequest> = {}): string => {
		const acquired = dispatcher.acquire(request(more));
		return 'kind' in acquired ? acquired.reason : acquired.endpoint.id;
	};

	return {
		clock, dispatcher, request, chosen,
	};
};

const south = [sampleEndpoint('s1'), sampleEndpoint('s2'), sampleEndpoint('s3', {availabilityZone: 'south-b'})];
const north = [sampleEndpoint('n1', {availabilityZone: 'north-a'}), sampleEndpoint('n2', {availabilityZone: 'north-a'})];

describe('the choice of an endpoint', () => {
	test('is the same for the same key, and different keys use all endpoints', () => {
		const {chosen} = createFixture(south);
		expect(new Set(Array.from({length: 4}, () => chosen())).size).toBe(1);
		const {chosen: other} = createFixture(south);
		expect(new Set(Array.from({length: 12}, (_, index) => other({affinityKey: `key-${index}`}))).size).toBe(3);
	});

	test('leaves a key\'s own endpoint while that fails or is overdue', () => {
		const {chosen, dispatcher, request, clock} = createFixture(south);
		const own = chosen();
		const lease = dispatcher.acquire(request());
		clock.advance(5000);
		expect(chosen()).not.toBe(own);
		if (!('kind' in lease)) {
			lease.end('answered');
		}

		for (let failure = 0; failure < 3; failure++) {
			const failing = dispatcher.acquire(request());
			if (!('kind' in failing)) {
				failing.end('failed');
			}
		}

		expect(chosen()).not.toBe(own);
	});

	test('spares the endpoints of a zone that is taken back, until they have told whether they are cold', () => {
		const {chosen, dispatcher, clock} = createFixture([south[2]!], ['south-b']);
		expect(chosen()).toBe('noEndpoint');
		dispatcher.configure(registeredById([south[2]!]), new Set());
		const sends = Array.from({length: 20}, (_, index) => {
			clock.advance(50);
			return chosen({affinityKey: `key-${index}`});
		}).filter(id => id === 's3');
		expect(sends.length).toBeGreaterThan(0);
		expect(sends.length).toBeLessThanOrEqual(2);
		clock.advance(2500);
		expect(chosen()).toBe('s3');
		expect(chosen()).toBe('s3');
	});

	test('falls on a region that has just got its first endpoint', () => {
		const {chosen, dispatcher} = createFixture([]);
		expect(chosen()).toBe('noEndpoint');
		dispatcher.configure(registeredById(south), new Set());
		expect(chosen()).toMatch(/^s\d$/u);
	});

	test('stays in the own region while it has room', () => {
		const {chosen} = createFixture([...south, ...north]);
		const ids = Array.from({length: 6}, (_, index) => chosen({affinityKey: `key-${index}`}));
		expect(ids.every(id => id.startsWith('s'))).toBe(true);
	});

	test('never leaves the allowed regions', () => {
		const {chosen} = createFixture([...south, ...north]);
		const route = {...sampleRoute, allowedRegions: ['north']};
		const ids = Array.from({length: 8}, (_, index) => chosen({route, affinityKey: `key-${index}`}));
		expect(ids.every(id => id.startsWith('n'))).toBe(true);
		expect(chosen({route: {...sampleRoute, allowedRegions: ['west']}})).toBe('noEndpoint');
	});

	test('avoids an evacuated zone, draining endpoints and those that were tried', () => {
		const endpoints = [...south, sampleEndpoint('leaving', {state: 'draining'})];
		const {chosen} = createFixture(endpoints, ['south-b']);
		const ids = new Set(Array.from({length: 12}, (_, index) => chosen({affinityKey: `key-${index}`})));
		expect([...ids].toSorted()).toEqual(['s1', 's2']);
		expect(chosen({tried: new Set(['s1'])})).toBe('s2');
		expect(chosen({tried: new Set(['s1', 's2'])})).toBe('noEndpoint');
	});

	test('avoids an endpoint whose address another one has by now, until it starts again', () => {
		const {dispatcher, chosen} = createFixture([sampleEndpoint('s1')]);
		dispatcher.discard('s1');
		expect(chosen()).toBe('noEndpoint');
		dispatcher.configure(registeredById([sampleEndpoint('s1', {sequence: 2})]), new Set());
		expect(chosen()).toBe('noEndpoint');
		dispatcher.configure(registeredById([sampleEndpoint('s1', {startedAtUnixMs: 2})]), new Set());
		expect(chosen()).toBe('s1');
	});
});

describe('a new route', () => {
	test('is tried though its timeout is below the first guess of its work', () => {
		const {chosen, clock} = createFixture(south);
		expect(chosen({deadlineAtMs: clock.now() + 100})).not.toBe('overloaded');
	});

	test('is refused later where its known work can\'t end in time', () => {
		const {dispatcher, request, chosen, clock} = createFixture(south);
		for (let index = 0; index < 60; index++) {
			const acquired = dispatcher.acquire(request({affinityKey: `key-${index % 8}`}));
			clock.advance(500);
			if ('end' in acquired) {
				acquired.end('answered');
			}
		}

		expect(chosen({deadlineAtMs: clock.now() + 100})).toBe('overloaded');
		expect(chosen()).not.toBe('overloaded');
	});
});

describe('an overloaded service', () => {
	test('refuses at once and tells when there will be room', () => {
		const {dispatcher, request} = createFixture([sampleEndpoint('s1')]);
		const acquired = Array.from({length: 40}, () => dispatcher.acquire(request()));
		const refusals = acquired.filter(result => 'kind' in result);
		expect(refusals.length).toBeGreaterThan(20);
		expect(refusals.every(refusal => 'kind' in refusal && refusal.expectedWaitMs > 0)).toBe(true);
	});

	test('lets only a few requests overflow into another region at a time', () => {
		const {dispatcher, request} = createFixture([sampleEndpoint('s1'), ...north]);
		const far = Array.from({length: 60}, () => {
			dispatcher.recordArrival('inventory');
			return dispatcher.acquire(request({targetAtMs: 1300}));
		}).filter(result => 'endpoint' in result && result.endpoint.id.startsWith('n'));
		expect(far.length).toBeLessThanOrEqual(4);
	});
});
