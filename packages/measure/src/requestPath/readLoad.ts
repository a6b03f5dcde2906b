/**
 * Loads of the request-path experiments, and figures of what callers saw.
 */
import type {RequestRecord} from '@filbertwell/load/callerRecord';
import {createLatencies, type LatencyFigures} from '@filbertwell/load/latencies';
import type {LoadPlan, RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad} from '@filbertwell/load/runLoad';
import type {Route} from '@filbertwell/types/intent';
import {type Bench, benchService} from './bench.js';

/** A route of idempotent requests. */
export const readRoute = (changes: Partial<Route> = {}): Route => ({
	name: 'read',
	methods: [],
	pathPrefix: '/',
	requestClass: 'interactive',
	kind: 'idempotent',
	deadlineMs: 2000,
	hedge: true,
	claimOutage: 'refuse',
	...changes,
});

/** The load of such a route. */
export const readLoad = (changes: Partial<RouteLoad> = {}): RouteLoad => ({
	name: 'read',
	service: benchService,
	method: 'GET',
	path: `/${benchService}/items`,
	kind: 'idempotent',
	requestClass: 'interactive',
	weight: 1,
	bodyBytes: 0,
	deadlineMs: 2000,
	...changes,
});

/** A load on a bench; callers spread over the entries at random and make one attempt. */
export type BenchLoad = Pick<LoadPlan, 'requestsPerSecond' | 'durationMs' | 'seed'> & Partial<Pick<LoadPlan, 'routes' | 'tenants'>>;

/**
 * Runs a load on a bench.
 *
 * @param bench - The bench.
 * @param load - Rate and length.
 * @returns Records of all requests.
 */
export const loadBench = async (bench: Bench, load: BenchLoad): Promise<readonly RequestRecord[]> => {
	const {records} = await runLoad({
		entries: bench.addresses,
		entryChoice: 'fixed',
		routes: [readLoad()],
		tenants: [{name: 'default', weight: 1}],
		callers: 20,
		maximumAttempts: 1,
		maximumOrderAttempts: 1,
		...load,
	});
	return records;
};

/** Whether a request got the upstream's good answer. */
export const isGood = ({outcome, status}: RequestRecord): boolean => outcome === 'answered' && status === 200;

/**
 * Summarizes latencies. Requests without a good answer count with the time that they took.
 *
 * @param records - Requests.
 * @returns Percentiles; zeros without requests.
 */
export const latenciesOf = (records: readonly RequestRecord[]): LatencyFigures => {
	const latencies = createLatencies();
	for (const {latencyMs} of records) {
		latencies.record('all', latencyMs);
	}

	return latencies.figures().all ?? {
		count: 0, p50Ms: 0, p95Ms: 0, p99Ms: 0, maximumMs: 0,
	};
};

/** Share of requests without a good answer. */
export const lostShare = (records: readonly RequestRecord[]): number =>
	records.length === 0 ? 0 : records.filter(record => !isGood(record)).length / records.length;

/** Requests that were to start in a part of the load. */
export const startedBetween = (records: readonly RequestRecord[], fromMs: number, toMs: number): readonly RequestRecord[] =>
	records.filter(({intendedAtMs}) => intendedAtMs >= fromMs && intendedAtMs < toMs);

/** Rounds for figures. */
export const rounded = (value: number, digits = 2): number => Number(value.toFixed(digits));
