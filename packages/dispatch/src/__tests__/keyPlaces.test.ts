import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {affinityOrder} from '../affinityOrder.js';
import {createKeyPlaces, type KeyQuestion} from '../keyPlaces.js';
import {trackEndpoint, type TrackedEndpoint} from '../trackedEndpoint.js';
import {registered, sampleEndpoint} from './dispatchFixture.js';

const {now} = createManualClock();

const tracked = (count: number): TrackedEndpoint[] => Array.from({length: count}, (_, index) => trackEndpoint(now, registered(sampleEndpoint(`e${index}`))));

const idOf = (endpoint: TrackedEndpoint): string => endpoint.registered().endpoint.id;

const question = (endpoints: readonly TrackedEndpoint[], more: Partial<KeyQuestion> = {}): KeyQuestion => ({
	key: 'a', service: 'inventory', region: 'south', endpoints, mayServe: () => true, count: 2, ...more,
});

/** Places by the order that all instances share. */
const expectedPlaces = (endpoints: readonly TrackedEndpoint[], count: number): string[] => affinityOrder('a', endpoints.map(endpoint => ({id: idOf(endpoint), weight: endpoint.slots()}))).slice(0, count);

describe('the places of a key', () => {
	test('are those of the order that all instances share', () => {
		const endpoints = tracked(40);
		expect(createKeyPlaces(() => 1).of(question(endpoints)).map(endpoint => idOf(endpoint))).toEqual(expectedPlaces(endpoints, 2));
	});

	test('pass over endpoints that may not serve, however many those are', () => {
		const endpoints = tracked(40);
		const places = createKeyPlaces(() => 1);
		for (const out of [1, 7, 20, 39]) {
			const gone = new Set(expectedPlaces(endpoints, out));
			const found = places.of(question(endpoints, {mayServe: endpoint => !gone.has(idOf(endpoint))}));
			expect(found.map(endpoint => idOf(endpoint))).toEqual(expectedPlaces(endpoints.filter(endpoint => !gone.has(idOf(endpoint))), 2));
		}
	});

	test('follow a change of the endpoints', () => {
		const endpoints = tracked(12);
		let version = 1;
		const places = createKeyPlaces(() => version);
		const [first] = places.of(question(endpoints));
		const rest = endpoints.filter(endpoint => endpoint !== first);
		version += 1;
		expect(places.of(question(rest)).map(endpoint => idOf(endpoint))).toEqual(expectedPlaces(rest, 2));
	});

	test('differ between services and regions with other endpoints', () => {
		const [south, north] = [tracked(5), tracked(9).slice(5)];
		const places = createKeyPlaces(() => 1);
		expect(south).toContain(places.of(question(south))[0]);
		expect(north).toContain(places.of(question(north, {region: 'north'}))[0]);
	});

	test('are none without endpoints', () => {
		expect(createKeyPlaces(() => 1).of(question([]))).toEqual([]);
	});
});
