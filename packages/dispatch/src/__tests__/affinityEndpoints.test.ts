import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {affinityOrder} from '../affinityOrder.js';
import {createAffinityEndpoints, type AffinityQuery} from '../affinityEndpoints.js';
import {trackEndpoint, type TrackedEndpoint} from '../trackedEndpoint.js';
import {registered, sampleEndpoint} from './dispatchFixture.js';

const {now} = createManualClock();

const tracked = (count: number): TrackedEndpoint[] => Array.from({length: count}, (_, index) => trackEndpoint(now, registered(sampleEndpoint(`e${index}`))));

const idOf = (endpoint: TrackedEndpoint): string => endpoint.registered().endpoint.id;

const query = (endpoints: readonly TrackedEndpoint[], overrides: Partial<AffinityQuery> = {}): AffinityQuery => ({
	key: 'a', service: 'inventory', region: 'south', endpoints, mayServe: () => true, ...overrides,
});

/** Ids of the endpoints in the affinity order of the key. */
const expectedOrder = (endpoints: readonly TrackedEndpoint[]): string[] => affinityOrder('a', endpoints.map(endpoint => ({id: idOf(endpoint), weight: endpoint.slots()})));

describe('affinity endpoint and overflow endpoint of a key', () => {
	test('are the first endpoints in the affinity order', () => {
		const endpoints = tracked(40);
		expect(createAffinityEndpoints(() => 1).find(query(endpoints)).map(endpoint => idOf(endpoint))).toEqual(expectedOrder(endpoints).slice(0, 2));
	});

	test('are the next endpoints in the order that may serve, for any number of excluded endpoints', () => {
		const endpoints = tracked(40);
		const affinityEndpoints = createAffinityEndpoints(() => 1);
		for (let excludedCount = 0; excludedCount < 40; excludedCount++) {
			const excluded = new Set(expectedOrder(endpoints).slice(0, excludedCount));
			const found = affinityEndpoints.find(query(endpoints, {mayServe: endpoint => !excluded.has(idOf(endpoint))}));
			expect(found.map(endpoint => idOf(endpoint))).toEqual(expectedOrder(endpoints).slice(excludedCount, excludedCount + 2));
		}

		expect(affinityEndpoints.find(query(endpoints, {mayServe: () => false}))).toEqual([]);
	});

	test('change with the endpoints', () => {
		const endpoints = tracked(12);
		let version = 1;
		const affinityEndpoints = createAffinityEndpoints(() => version);
		const [first] = affinityEndpoints.find(query(endpoints));
		const rest = endpoints.filter(endpoint => endpoint !== first);
		version += 1;
		expect(idOf(affinityEndpoints.find(query(rest))[0]!)).toBe(expectedOrder(rest)[0]);
	});

	test('are found separately for each region', () => {
		const [south, north] = [tracked(5), tracked(9).slice(5)];
		const affinityEndpoints = createAffinityEndpoints(() => 1);
		expect(south).toEqual(expect.arrayContaining([...affinityEndpoints.find(query(south))]));
		expect(north).toEqual(expect.arrayContaining([...affinityEndpoints.find(query(north, {region: 'north'}))]));
	});

	test('are missing without endpoints', () => {
		expect(createAffinityEndpoints(() => 1).find(query([]))).toEqual([]);
	});
});
