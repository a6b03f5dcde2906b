/**
 * Loads of the request path experiments, and figures from the callers' records.
 */
import type {RequestRecord} from '@filbertwell/load/callerRecord';
import {createLatencyHistograms, type LatencyFigures} from '@filbertwell/load/latencyHistograms';
import type {LoadPlan, RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad} from '@filbertwell/load/runLoad';
import type {Route} from '@filbertwell/types/intent';
import {type Bench, benchService} from './bench.js';

/** Creates a route of idempotent requests, with `changes` in place of its defaults. */
export const createReadRoute = (changes: Partial<Route> = {}): Route => ({
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

/** Creates the load of a read route, with `changes` in place of its defaults. */
export const createReadLoad = (changes: Partial<RouteLoad> = {}): RouteLoad => ({
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

/** Load on a bench. Requests go to entries chosen at random, with one attempt each. */
export type BenchLoad = Pick<LoadPlan, 'requestsPerSecond' | 'durationMs' | 'seed'> & Partial<Pick<LoadPlan, 'routes' | 'tenants'>>;

/**
 * Runs a load on a bench.
 *
 * @param bench - The bench.
 * @param load - Rate, duration and seed; routes and tenants replace the defaults.
 * @returns Records of all requests.
 */
export const runBenchLoad = async (bench: Bench, load: BenchLoad): Promise<readonly RequestRecord[]> => {
	const {records} = await runLoad({
		entries: bench.addresses,
		entryChoice: 'fixed',
		routes: [createReadLoad()],
		tenants: [{name: 'default', weight: 1}],
		callers: 20,
		maximumAttempts: 1,
		maximumAtMostOnceAttempts: 1,
		...load,
	});
	return records;
};

/** Whether a request was answered with status 200. */
export const isGood = ({outcome, status}: RequestRecord): boolean => outcome === 'answered' && status === 200;

/**
 * Summarizes latencies. Failed requests count with the time until they failed.
 *
 * @param records - Records of requests.
 * @returns Percentiles in milliseconds; zeros if there are no records.
 */
export const summarizeLatencies = (records: readonly RequestRecord[]): LatencyFigures => {
	const latencies = createLatencyHistograms();
	for (const {latencyMs} of records) {
		latencies.record('all', latencyMs);
	}

	return latencies.summarize().all ?? {
		count: 0, p50Ms: 0, p95Ms: 0, p99Ms: 0, maximumMs: 0,
	};
};

/** Share of requests that were not answered with status 200, from 0 to 1. */
export const lostShare = (records: readonly RequestRecord[]): number =>
	records.length === 0 ? 0 : records.filter(record => !isGood(record)).length / records.length;

/** Selects the requests whose intended start is at or after `fromMs` and before `toMs`, relative to the start of the load. */
export const startedBetween = (records: readonly RequestRecord[], fromMs: number, toMs: number): readonly RequestRecord[] =>
	records.filter(({intendedAtMs}) => intendedAtMs >= fromMs && intendedAtMs < toMs);

/** Rounds a figure to a number of decimal places. */
export const roundTo = (value: number, digits = 2): number => Number(value.toFixed(digits));
