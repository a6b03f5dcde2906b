/**
 * Simulates a service under high load whose endpoints keep few keys warm: 14 endpoints with 4 slots that keep the
 * last 16 keys warm, 72 keys, and 8 instances that see the load of each other only in load reports. The
 * simulation runs in steps of 5 ms without a network.
 */
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {describe, expect, test} from 'vitest';
import type {EndpointLease} from '../dispatchedRequest.js';
import {createDispatcher, type Dispatcher} from '../dispatcher.js';
import {createRecentKeys} from '../recentKeys.js';
import {registeredById, sampleEndpoint, sampleRoute} from './dispatchFixture.js';

const warmMs = 225;
const coldMs = 750;
const warmKeysPerEndpoint = 16;
const keyCount = 72;
const instanceCount = 8;
const endpointCount = 14;
const tickMs = 5;

type SimulatedRequest = {
	readonly lease: EndpointLease;
	readonly arrivedAtMs: number;
	readonly key: string;
	endsAtMs: number;
	isCold: boolean;
};

const simulate = (requestsPerSecond: number, seconds: number) => {
	const clock = createManualClock();
	const random = createRandom(11);
	const ids = Array.from({length: instanceCount}, (_, index) => `instance-${index}`);
	const endpoints = Array.from({length: endpointCount}, (_, index) => sampleEndpoint(`endpoint-${index}`));
	const dispatchers: Dispatcher[] = ids.map(id => {
		const dispatcher = createDispatcher({
			clock: clock.now,
			self: {id, region: 'south', availabilityZone: 'south-a'},
			regionOfZone: () => new Map([['south-a', 'south']]),
			instances: () => ids.map(other => ({id: other, region: 'south', requestsPerSecond: requestsPerSecond / instanceCount})),
			hasDiscoveredPeers: () => true,
			serviceOf: () => undefined,
			largestShift: () => 0.15,
			random,
		});
		dispatcher.configure(registeredById(endpoints), new Set());
		return dispatcher;
	});
	const warmKeys = new Map(endpoints.map(({id}) => [id, createRecentKeys(warmKeysPerEndpoint)]));
	const running = new Map<string, SimulatedRequest[]>(endpoints.map(({id}) => [id, []]));
	const waiting = new Map<string, SimulatedRequest[]>(endpoints.map(({id}) => [id, []]));
	let arrivals = 0;
	let pendingArrivals = 0;
	let inTime = 0;
	let coldStarts = 0;
	let started = 0;
	let refused = 0;
	let late = 0;

	const startNext = (id: string) => {
		const active = running.get(id)!;
		const queue = waiting.get(id)!;
		while (active.length < 4 && queue.length > 0) {
			const run = queue.shift()!;
			run.isCold = !warmKeys.get(id)!.has(run.key);
			warmKeys.get(id)!.add(run.key);
			run.endsAtMs = clock.now() + (run.isCold ? coldMs : warmMs);
			active.push(run);
			started += 1;
			coldStarts += run.isCold ? 1 : 0;
		}
	};

	const finish = (id: string) => {
		const active = running.get(id)!;
		for (const run of active.filter(({endsAtMs}) => endsAtMs <= clock.now())) {
			active.splice(active.indexOf(run), 1);
			run.lease.end('answered');
			run.lease.reportLoad({
				running: active.length, waiting: waiting.get(id)!.length, slots: 4, slowdown: 1,
			});
			if (clock.now() > 5000) {
				const isInTime = clock.now() - run.arrivedAtMs <= sampleRoute.latencyTargetMs;
				inTime += isInTime ? 1 : 0;
				late += isInTime ? 0 : 1;
			}
		}
	};

	const arrive = () => {
		const key = `key-${Math.floor(random() * keyCount)}`;
		const dispatcher = dispatchers[Math.floor(random() * instanceCount)]!;
		dispatcher.recordArrival('inventory');
		const acquired = dispatcher.acquire({
			route: sampleRoute, service: 'inventory', affinityKey: key, targetAtMs: clock.now() + 600, deadlineAtMs: clock.now() + 1200, triedEndpointIds: new Set(),
		});
		arrivals += clock.now() > 5000 ? 1 : 0;
		if ('kind' in acquired) {
			refused += clock.now() > 5000 ? 1 : 0;
			return;
		}

		waiting.get(acquired.endpoint.id)!.push({
			lease: acquired, arrivedAtMs: clock.now(), key, endsAtMs: 0, isCold: false,
		});
	};

	while (clock.now() < seconds * 1000) {
		for (const {id} of endpoints) {
			finish(id);
		}

		pendingArrivals += requestsPerSecond * tickMs / 1000;
		while (random() < pendingArrivals) {
			pendingArrivals -= 1;
			arrive();
		}

		for (const {id} of endpoints) {
			startNext(id);
		}

		clock.advance(tickMs);
	}

	return {
		inTime: inTime / arrivals, cold: coldStarts / started, refused: refused / arrivals, late: late / arrivals,
	};
};

describe('service under high load whose endpoints keep few keys warm', () => {
	test('keeps keys at their affinity endpoints at low load', () => {
		const {inTime, cold, refused} = simulate(40, 30);
		expect(cold).toBeLessThan(0.2);
		expect(inTime).toBeGreaterThan(0.8);
		expect(refused).toBe(0);
	});

	test('does not fill its slots with cold requests at 60% of its warm capacity', () => {
		const {inTime, cold} = simulate(150, 30);
		expect(cold).toBeLessThan(0.2);
		expect(inTime).toBeGreaterThan(0.75);
	});

	test('refuses excess requests and answers the others in time at 1.4 times its warm capacity', () => {
		const {inTime, late, refused} = simulate(350, 30);
		expect(inTime).toBeGreaterThan(0.35);
		expect(refused).toBeGreaterThan(0.1);
		expect(late).toBeLessThan(0.3);
	});
});
