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
	key: 'a', service: 'inventory', region: 'south', endpoints, mayServe: () => true, ...more,
});

/** Ids in the order that all instances share. */
const sharedOrder = (endpoints: readonly TrackedEndpoint[]): string[] => affinityOrder('a', endpoints.map(endpoint => ({id: idOf(endpoint), weight: endpoint.slots()})));

describe('the place of a key', () => {
	test('is the first of the order that all instances share', () => {
		const endpoints = tracked(40);
		expect(idOf(createKeyPlaces(() => 1).of(question(endpoints))!)).toBe(sharedOrder(endpoints)[0]);
	});

	test('passes over endpoints that may not serve, however many those are', () => {
		const endpoints = tracked(40);
		const places = createKeyPlaces(() => 1);
		for (let out = 0; out < 40; out++) {
			const gone = new Set(sharedOrder(endpoints).slice(0, out));
			expect(idOf(places.of(question(endpoints, {mayServe: endpoint => !gone.has(idOf(endpoint))}))!)).toBe(sharedOrder(endpoints)[out]);
		}

		expect(places.of(question(endpoints, {mayServe: () => false}))).toBeUndefined();
	});

	test('follows a change of the endpoints', () => {
		const endpoints = tracked(12);
		let version = 1;
		const places = createKeyPlaces(() => version);
		const first = places.of(question(endpoints));
		const rest = endpoints.filter(endpoint => endpoint !== first);
		version += 1;
		expect(idOf(places.of(question(rest))!)).toBe(sharedOrder(rest)[0]);
	});

	test('differs between services and regions with other endpoints', () => {
		const [south, north] = [tracked(5), tracked(9).slice(5)];
		const places = createKeyPlaces(() => 1);
		expect(south).toContain(places.of(question(south)));
		expect(north).toContain(places.of(question(north, {region: 'north'})));
	});

	test('is none without endpoints', () => {
		expect(createKeyPlaces(() => 1).of(question([]))).toBeUndefined();
	});
});
