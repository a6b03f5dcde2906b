/**
 * Reads the runs of a deployment's upstream stand-ins with times on this process's clock, and sets faults on the stand-ins.
 */
import {requestJson} from '@filbertwell/harness/httpJson';
import type {Deployment} from '@filbertwell/harness/startDeployment';
import type {UpstreamProcess} from '@filbertwell/harness/upstreamProcess';
import type {Run} from '@filbertwell/standins/upstreamLedger';
import type {UpstreamFaults} from '@filbertwell/standins/upstreamFaults';
import {monotonicClock} from '@filbertwell/utils/clock';

/** A run with the location of its endpoint. Times are on this process's monotonic clock. */
export type LocatedRun = {
	readonly endpoint: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly requestId: string;
	readonly startedAtMs: number;
	readonly endedAtMs: number | undefined;
};

const urlOf = ({control}: UpstreamProcess, path: string): string => `http://${control.host}:${control.port}${path}`;

const request = async (upstream: UpstreamProcess, method: string, path: string, body?: unknown): Promise<unknown> => {
	const answer = await requestJson(method, urlOf(upstream, path), body);
	if (answer?.status !== 200) {
		throw new Error(`the upstreams of ${upstream.availabilityZone} did not answer ${method} ${path}`);
	}

	return answer.body;
};

const readZoneRuns = async (upstream: UpstreamProcess, region: string): Promise<LocatedRun[]> => {
	const requestedAtMs = monotonicClock();
	const {nowMs} = await request(upstream, 'GET', '/statistics') as {nowMs: number};
	const offsetMs = ((requestedAtMs + monotonicClock()) / 2) - nowMs;
	const {runs} = await request(upstream, 'GET', '/ledger?runs') as {runs: readonly Run[]};
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
 * Reads the runs that the stand-ins retain. The times differ from the true ones by at most half the round trip of a request.
 *
 * @param deployment - The running deployment.
 * @returns The retained runs of all zones.
 * @throws If an upstream process does not respond with status 200.
 */
export const readRuns = async ({upstreams, intent}: Pick<Deployment, 'upstreams' | 'intent'>): Promise<readonly LocatedRun[]> => {
	const regionOf = (zone: string) => intent().regions.find(({availabilityZones}) => availabilityZones.includes(zone))!.name;
	const runs = await Promise.all(upstreams.map(async upstream => readZoneRuns(upstream, regionOf(upstream.availabilityZone))));
	return runs.flat();
};

/**
 * Sets faults on endpoints.
 *
 * @param deployment - The running deployment.
 * @param zones - Availability zones of the endpoints.
 * @param faults - Faults to set.
 * @param endpoint - Id of one endpoint; without it, the faults apply to all endpoints of the zones.
 * @throws If an upstream process does not respond with status 200.
 */
export const setFaults = async ({upstreams}: Pick<Deployment, 'upstreams'>, zones: readonly string[], faults: Partial<UpstreamFaults>, endpoint?: string): Promise<void> => {
	const selectedUpstreams = upstreams.filter(({availabilityZone}) => zones.includes(availabilityZone));
	await Promise.all(selectedUpstreams.map(async upstream => request(upstream, 'POST', '/faults', {...(endpoint === undefined ? {} : {endpoint}), faults})));
};

/**
 * Resets the slot statistics of all endpoints.
 *
 * @param deployment - The running deployment.
 */
export const resetStatistics = async ({upstreams}: Pick<Deployment, 'upstreams'>): Promise<void> => {
	await Promise.all(upstreams.map(async upstream => request(upstream, 'DELETE', '/statistics')));
};
