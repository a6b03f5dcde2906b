import {createRandom} from '@filbertwell/utils/random';
import {describe, expect, test} from 'vitest';
import {retryAfterSeconds} from '../retryAfter.js';
import {createRouteTable} from '../routeTable.js';
import {createServiceSplit} from '../serviceSplit.js';
import {sampleRoute} from './dispatchFixture.js';

const plan = (routes: ReadonlyArray<typeof sampleRoute>) => ({
	version: 1,
	routes,
	services: new Map(),
	unknownRouteKinds: [],
	limits: {
		maximumHeaderBytes: 16_384, maximumBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});

describe('route table', () => {
	const table = createRouteTable(plan([
		{...sampleRoute, name: 'all', pathPrefix: '/'},
		{...sampleRoute, name: 'stock', pathPrefix: '/stock/'},
		{...sampleRoute, name: 'deep', pathPrefix: '/stock/deep/'},
		{
			...sampleRoute, name: 'other', host: 'other.example', pathPrefix: '/stock/',
		},
	]));

	test.each([
		['shop.example', '/stock/7', 'stock'],
		['shop.example:8080', '/stock/7?q=/stock/deep/', 'stock'],
		['SHOP.example', '/stock/deep/7', 'deep'],
		['shop.example', '/stock/deep', 'stock'],
		['shop.example', '/stock', 'all'],
		['shop.example', '/stockpile/7', 'all'],
		['other.example', '/stock/', 'other'],
		['other.example', '/', undefined],
		['nowhere.example', '/stock/', undefined],
	])('%s %s goes to %s', (host, path, name) => {
		expect(table.routeOf(host, path)?.name).toBe(name);
	});
});

describe('service split of a route', () => {
	test('stays within one request of the weights after any number of requests', () => {
		const split = createServiceSplit();
		const route = {...sampleRoute, services: [{service: 'a', weight: 70}, {service: 'b', weight: 20}, {service: 'c', weight: 10}]};
		const counts = new Map<string, number>();
		for (let request = 1; request <= 200; request++) {
			const service = split(route);
			counts.set(service, (counts.get(service) ?? 0) + 1);
			for (const {service: name, weight} of route.services) {
				expect(Math.abs((counts.get(name) ?? 0) - (request * weight / 100))).toBeLessThanOrEqual(1);
			}
		}
	});

	test('sends no requests to a service with a weight of 0 and resets its credits when the weights change', () => {
		const split = createServiceSplit();
		const first = {...sampleRoute, services: [{service: 'a', weight: 0}, {service: 'b', weight: 5}]};
		expect(Array.from({length: 20}, () => split(first))).not.toContain('a');
		const second = {...first, services: [{service: 'a', weight: 5}, {service: 'b', weight: 0}]};
		expect(Array.from({length: 20}, () => split(second))).not.toContain('b');
	});
});

describe('retry delay of refused callers', () => {
	test('has jitter and is bounded', () => {
		const random = createRandom(7);
		const times = Array.from({length: 500}, () => retryAfterSeconds(400, random));
		expect(Math.min(...times)).toBeGreaterThanOrEqual(0.4);
		expect(Math.max(...times)).toBeLessThanOrEqual(0.6);
		expect(new Set(times).size).toBeGreaterThan(100);
		expect(retryAfterSeconds(0, random)).toBeGreaterThan(0.1);
		expect(retryAfterSeconds(1e9, random)).toBeLessThanOrEqual(3);
	});
});
