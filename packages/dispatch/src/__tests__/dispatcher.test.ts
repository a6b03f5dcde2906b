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
		hasDiscoveredPeers: () => true,
		serviceOf: () => undefined,
		largestShift: () => 0.15,
	});
	dispatcher.configure(registeredById(endpoints), new Set(evacuated));
	const request = (overrides: Partial<DispatchedRequest> = {}): DispatchedRequest => ({
		route: sampleRoute, service: 'inventory', affinityKey: 'a', targetAtMs: clock.now() + 600, deadlineAtMs: clock.now() + 1200, triedEndpointIds: new Set(), ...overrides,
	});
	const choose = (overrides: Partial<DispatchedRequest> = {}): string => {
		const acquired = dispatcher.acquire(request(overrides));
		return 'kind' in acquired ? acquired.reason : acquired.endpoint.id;
	};

	return {
		clock, dispatcher, request, choose,
	};
};

const south = [sampleEndpoint('s1'), sampleEndpoint('s2'), sampleEndpoint('s3', {availabilityZone: 'south-b'})];
const north = [sampleEndpoint('n1', {availabilityZone: 'north-a'}), sampleEndpoint('n2', {availabilityZone: 'north-a'})];

describe('choice of an endpoint', () => {
	test('is stable for a key, and different keys use all endpoints', () => {
		const {choose} = createFixture(south);
		expect(new Set(Array.from({length: 4}, () => choose())).size).toBe(1);
		const {choose: chooseOther} = createFixture(south);
		expect(new Set(Array.from({length: 12}, (_, index) => chooseOther({affinityKey: `key-${index}`}))).size).toBe(3);
	});

	test('avoids the affinity endpoint of a key while it fails or is overdue', () => {
		const {choose, dispatcher, request, clock} = createFixture(south);
		const affinityEndpoint = choose();
		const lease = dispatcher.acquire(request());
		clock.advance(5000);
		expect(choose()).not.toBe(affinityEndpoint);
		if (!('kind' in lease)) {
			lease.end('answered');
		}

		for (let failure = 0; failure < 3; failure++) {
			const failing = dispatcher.acquire(request());
			if (!('kind' in failing)) {
				failing.end('failed');
			}
		}

		expect(choose()).not.toBe(affinityEndpoint);
	});

	test('treats the endpoints of a zone as cold for a while after its evacuation ends', () => {
		const {choose, dispatcher, clock} = createFixture([south[2]!], ['south-b']);
		expect(choose()).toBe('noEndpoint');
		dispatcher.configure(registeredById([south[2]!]), new Set());
		const sends = Array.from({length: 20}, (_, index) => {
			clock.advance(50);
			return choose({affinityKey: `key-${index}`});
		}).filter(id => id === 's3');
		expect(sends.length).toBeGreaterThan(0);
		expect(sends.length).toBeLessThanOrEqual(2);
		clock.advance(2500);
		expect(choose()).toBe('s3');
		expect(choose()).toBe('s3');
	});

	test('includes a region immediately after its first endpoint registers', () => {
		const {choose, dispatcher} = createFixture([]);
		expect(choose()).toBe('noEndpoint');
		dispatcher.configure(registeredById(south), new Set());
		expect(choose()).toMatch(/^s\d$/u);
	});

	test('stays in the local region while it has capacity', () => {
		const {choose} = createFixture([...south, ...north]);
		const ids = Array.from({length: 6}, (_, index) => choose({affinityKey: `key-${index}`}));
		expect(ids.every(id => id.startsWith('s'))).toBe(true);
	});

	test('is restricted to the allowed regions', () => {
		const {choose} = createFixture([...south, ...north]);
		const route = {...sampleRoute, allowedRegions: ['north']};
		const ids = Array.from({length: 8}, (_, index) => choose({route, affinityKey: `key-${index}`}));
		expect(ids.every(id => id.startsWith('n'))).toBe(true);
		expect(choose({route: {...sampleRoute, allowedRegions: ['west']}})).toBe('noEndpoint');
	});

	test('excludes evacuated zones, draining endpoints and endpoints that were already tried', () => {
		const endpoints = [...south, sampleEndpoint('leaving', {state: 'draining'})];
		const {choose} = createFixture(endpoints, ['south-b']);
		const ids = new Set(Array.from({length: 12}, (_, index) => choose({affinityKey: `key-${index}`})));
		expect([...ids].toSorted()).toEqual(['s1', 's2']);
		expect(choose({triedEndpointIds: new Set(['s1'])})).toBe('s2');
		expect(choose({triedEndpointIds: new Set(['s1', 's2'])})).toBe('noEndpoint');
	});

	test('excludes an endpoint whose address belongs to another process until it registers a new start', () => {
		const {dispatcher, choose} = createFixture([sampleEndpoint('s1')]);
		dispatcher.discard('s1');
		expect(choose()).toBe('noEndpoint');
		dispatcher.configure(registeredById([sampleEndpoint('s1', {sequence: 2})]), new Set());
		expect(choose()).toBe('noEndpoint');
		dispatcher.configure(registeredById([sampleEndpoint('s1', {startedAtUnixMs: 2})]), new Set());
		expect(choose()).toBe('s1');
	});
});

describe('route without measured processing time', () => {
	test('is dispatched although its timeout is below the initial estimate', () => {
		const {choose, clock} = createFixture(south);
		expect(choose({deadlineAtMs: clock.now() + 100})).not.toBe('overloaded');
	});

	test('is refused once the measured processing time exceeds the timeout', () => {
		const {dispatcher, request, choose, clock} = createFixture(south);
		for (let index = 0; index < 60; index++) {
			const acquired = dispatcher.acquire(request({affinityKey: `key-${index % 8}`}));
			clock.advance(500);
			if ('end' in acquired) {
				acquired.end('answered');
			}
		}

		expect(choose({deadlineAtMs: clock.now() + 100})).toBe('overloaded');
		expect(choose()).not.toBe('overloaded');
	});
});

describe('overloaded service', () => {
	test('refuses requests immediately and returns the expected wait', () => {
		const {dispatcher, request} = createFixture([sampleEndpoint('s1')]);
		const acquired = Array.from({length: 40}, () => dispatcher.acquire(request()));
		const refusals = acquired.filter(result => 'kind' in result);
		expect(refusals.length).toBeGreaterThan(20);
		expect(refusals.every(refusal => 'kind' in refusal && refusal.expectedWaitMs > 0)).toBe(true);
	});

	test('lets only a few requests overflow to another region in a short time', () => {
		const {dispatcher, request} = createFixture([sampleEndpoint('s1'), ...north]);
		const remoteLeases = Array.from({length: 60}, () => {
			dispatcher.recordArrival('inventory');
			return dispatcher.acquire(request({targetAtMs: 1300}));
		}).filter(result => 'endpoint' in result && result.endpoint.id.startsWith('n'));
		expect(remoteLeases.length).toBeLessThanOrEqual(4);
	});
});
