/**
 * Runs at a deployment's upstream stand-ins, on this process's clock.
 */
import {requestJson} from '@filbertwell/harness/httpJson';
import type {Deployment} from '@filbertwell/harness/startDeployment';
import type {UpstreamProcess} from '@filbertwell/harness/upstreamProcess';
import type {Run} from '@filbertwell/standins/upstreamLedger';
import type {UpstreamFaults} from '@filbertwell/standins/upstreamFaults';
import {monotonicClock} from '@filbertwell/utils/clock';

/** A run with its place. Times are on this process's monotonic clock. */
export type PlacedRun = {
	readonly endpoint: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly requestId: string;
	readonly startedAtMs: number;
	readonly endedAtMs: number | undefined;
};

const urlOf = ({control}: UpstreamProcess, path: string): string => `http://${control.host}:${control.port}${path}`;

const ask = async (upstream: UpstreamProcess, method: string, path: string, body?: unknown): Promise<unknown> => {
	const answer = await requestJson(method, urlOf(upstream, path), body);
	if (answer?.status !== 200) {
		throw new Error(`the upstreams of ${upstream.availabilityZone} did not answer ${method} ${path}`);
	}

	return answer.body;
};

const runsOf = async (upstream: UpstreamProcess, region: string): Promise<PlacedRun[]> => {
	const askedAtMs = monotonicClock();
	const {nowMs} = await ask(upstream, 'GET', '/statistics') as {nowMs: number};
	const offsetMs = ((askedAtMs + monotonicClock()) / 2) - nowMs;
	const {runs} = await ask(upstream, 'GET', '/ledger?runs') as {runs: readonly Run[]};
	return runs.map(({endpoint, requestId, startedAtMs, endedAtMs}) => ({
		endpoint,
		availabilityZone: upstream.availabilityZone,
		region,
		requestId: requestId ?? '',
		startedAtMs: startedAtMs + offsetMs,
		endedAtMs: endedAtMs === undefined ? undefined : endedAtMs + offsetMs,
	}));
};

/**
 * Reads the runs that the stand-ins keep.
 *
 * @param deployment - The running deployment.
 * @returns All runs of all zones.
 * @throws If an upstream process doesn't answer.
 */
export const readRuns = async ({upstreams, intent}: Pick<Deployment, 'upstreams' | 'intent'>): Promise<readonly PlacedRun[]> => {
	const regionOf = (zone: string) => intent().regions.find(({availabilityZones}) => availabilityZones.includes(zone))!.name;
	const runs = await Promise.all(upstreams.map(async upstream => runsOf(upstream, regionOf(upstream.availabilityZone))));
	return runs.flat();
};

/**
 * Sets faults on endpoints.
 *
 * @param deployment - The running deployment.
 * @param zones - Availability zones.
 * @param faults - Faults to set.
 * @param endpoint - One endpoint; all of the zones where it is left out.
 */
export const setFaults = async ({upstreams}: Pick<Deployment, 'upstreams'>, zones: readonly string[], faults: Partial<UpstreamFaults>, endpoint?: string): Promise<void> => {
	const chosen = upstreams.filter(({availabilityZone}) => zones.includes(availabilityZone));
	await Promise.all(chosen.map(async upstream => ask(upstream, 'POST', '/faults', {...(endpoint === undefined ? {} : {endpoint}), faults})));
};

/**
 * Starts the slot statistics of all endpoints anew.
 *
 * @param deployment - The running deployment.
 */
export const resetStatistics = async ({upstreams}: Pick<Deployment, 'upstreams'>): Promise<void> => {
	await Promise.all(upstreams.map(async upstream => ask(upstream, 'DELETE', '/statistics')));
};
