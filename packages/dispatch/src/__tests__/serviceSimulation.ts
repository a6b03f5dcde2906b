/**
 * Simulates one service in one region without a network: callers' requests arrive at several instances, which choose
 * endpoints with real dispatchers and know the load of each other only from load reports. An endpoint processes a
 * limited number of requests at a time, queues a few more, keeps its last keys warm and stops a request at its timeout.
 * The simulation runs in steps of 5 ms.
 */
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import type {EndpointLease} from '../dispatchedRequest.js';
import {createDispatcher, type Dispatcher} from '../dispatcher.js';
import {createRecentKeys} from '../recentKeys.js';
import {registeredById, sampleEndpoint, sampleRoute} from './dispatchFixture.js';

/** Sizes and rates of the simulated service. */
export type SimulatedService = {
	readonly seed?: number;
	readonly instanceCount: number;
	readonly endpointCount: number;
	readonly keyCount: number;
	/** Number of last keys that an endpoint keeps warm. */
	readonly warmKeysPerEndpoint: number;
	readonly warmMs: number;
	readonly coldMs: number;
	readonly latencyTargetMs: number;
	readonly timeoutMs: number;
	/** Processing times of an endpoint are multiplied by `factor` for a fraction of all periods of 600 ms. */
	readonly noise?: {readonly fraction: number; readonly factor: number};
	readonly requestsPerSecond: number;
	readonly seconds: number;
	/** Time from the start in which requests are not counted. */
	readonly uncountedSeconds: number;
};

/** Fractions of the counted requests. */
export type SimulationResult = {
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** Stopped at the timeout of the route. */
	readonly cut: number;
	/** Fraction of the runs that started with a cold key. */
	readonly cold: number;
	/** Number of runs at the busiest endpoint divided by the mean. */
	readonly busiest: number;
};

type SimulatedRequest = {
	readonly lease: EndpointLease;
	readonly arrivedAtMs: number;
	readonly key: string;
	readonly isCounted: boolean;
	endsAtMs: number;
};

const slots = 4;
const queueLength = 12;
const tickMs = 5;
const noisePeriodMs = 600;
const shareUpdateMs = 250;

/**
 * Runs a simulation.
 *
 * @param service - Sizes and rates.
 * @returns What happened to the counted requests.
 */
export const simulateService = (service: SimulatedService): SimulationResult => {
	const {instanceCount, endpointCount, keyCount, warmKeysPerEndpoint, warmMs, coldMs, noise = {fraction: 0, factor: 1}, requestsPerSecond} = service;
	const route: PlannedRoute = {...sampleRoute, latencyTargetMs: service.latencyTargetMs, timeoutMs: service.timeoutMs};
	const clock = createManualClock();
	const random = createRandom(service.seed ?? 11);
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
	const slowdowns = new Map<string, number>();
	const runCounts = new Map<string, number>();
	const counts = {
		arrivals: 0, inTime: 0, late: 0, refused: 0, cut: 0, cold: 0, started: 0,
	};
	let pendingArrivals = 0;

	const slowdownOf = (id: string) => slowdowns.get(id) ?? 1;

	const startNext = (id: string) => {
		const active = running.get(id)!;
		const queue = waiting.get(id)!;
		while (active.length < slots && queue.length > 0) {
			const run = queue.shift()!;
			const isCold = !warmKeys.get(id)!.has(run.key);
			warmKeys.get(id)!.add(run.key);
			run.endsAtMs = clock.now() + ((isCold ? coldMs : warmMs) * slowdownOf(id));
			active.push(run);
			if (run.isCounted) {
				counts.started += 1;
				counts.cold += isCold ? 1 : 0;
				runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
			}
		}
	};

	const count = (run: SimulatedRequest, result: 'inTime' | 'late' | 'cut') => {
		counts[result] += run.isCounted ? 1 : 0;
	};

	/** Removes the requests whose timeout has passed; like a caller's timeout, it carries no load report. */
	const cutOverdue = (list: SimulatedRequest[]) => {
		for (const run of list.filter(({arrivedAtMs}) => clock.now() - arrivedAtMs >= service.timeoutMs)) {
			list.splice(list.indexOf(run), 1);
			run.lease.end('silent');
			count(run, 'cut');
		}
	};

	const finish = (id: string) => {
		const active = running.get(id)!;
		for (const run of active.filter(({endsAtMs}) => endsAtMs <= clock.now())) {
			active.splice(active.indexOf(run), 1);
			run.lease.end('answered');
			run.lease.reportLoad({
				running: active.length, waiting: waiting.get(id)!.length, slots, slowdown: slowdownOf(id),
			});
			count(run, clock.now() - run.arrivedAtMs <= service.latencyTargetMs ? 'inTime' : 'late');
		}

		cutOverdue(active);
		cutOverdue(waiting.get(id)!);
	};

	const arrive = () => {
		const key = `key-${Math.floor(random() * keyCount)}`;
		const dispatcher = dispatchers[Math.floor(random() * instanceCount)]!;
		const isCounted = clock.now() > service.uncountedSeconds * 1000;
		dispatcher.recordArrival('inventory');
		const acquired = dispatcher.acquire({
			route, service: 'inventory', affinityKey: key, targetAtMs: clock.now() + service.latencyTargetMs, deadlineAtMs: clock.now() + service.timeoutMs, triedEndpointIds: new Set(),
		});
		counts.arrivals += isCounted ? 1 : 0;
		if ('kind' in acquired) {
			counts.refused += isCounted ? 1 : 0;
			return;
		}

		const queue = waiting.get(acquired.endpoint.id)!;
		if (queue.length >= queueLength) {
			acquired.end('refused');
			counts.refused += isCounted ? 1 : 0;
			return;
		}

		queue.push({
			lease: acquired, arrivedAtMs: clock.now(), key, isCounted, endsAtMs: 0,
		});
	};

	const updatePeriodically = () => {
		if (clock.now() % noisePeriodMs === 0) {
			for (const {id} of endpoints) {
				slowdowns.set(id, random() < noise.fraction ? noise.factor : 1);
			}
		}

		if (clock.now() % shareUpdateMs === 0) {
			for (const dispatcher of dispatchers) {
				dispatcher.updateRegionShares();
			}
		}
	};

	while (clock.now() < service.seconds * 1000) {
		updatePeriodically();
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
		inTime: counts.inTime / counts.arrivals,
		late: counts.late / counts.arrivals,
		refused: counts.refused / counts.arrivals,
		cut: counts.cut / counts.arrivals,
		cold: counts.cold / counts.started,
		busiest: Math.max(...runCounts.values()) * endpointCount / counts.started,
	};
};
