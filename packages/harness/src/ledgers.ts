/**
 * Reads the ledgers and statistics of a deployment's upstream stand-ins.
 */
import {mergeLedgers, type LedgerCounts} from '@filbertwell/load/checkGuarantees';
import type {SlotStatistics} from '@filbertwell/standins/upstreamSlots';
import {requestJson} from './httpJson.js';
import type {Deployment} from './startDeployment.js';
import type {UpstreamProcess} from './upstreamProcess.js';

type StatisticsBody = {
	readonly endpoints: Readonly<Record<string, SlotStatistics>>;
};

const getJson = async ({control, availabilityZone}: UpstreamProcess, path: string): Promise<unknown> => {
	const answer = await requestJson('GET', `http://${control.host}:${control.port}${path}`);
	if (answer?.status !== 200) {
		throw new Error(`the upstreams of ${availabilityZone} did not answer GET ${path}`);
	}

	return answer.body;
};

/**
 * Reads and merges the ledgers of all upstream processes.
 *
 * @param deployment - The running deployment.
 * @returns Number of runs by idempotency key and by request id.
 * @throws If an upstream process does not respond with status 200.
 */
export const readLedger = async (deployment: Pick<Deployment, 'upstreams'>): Promise<LedgerCounts> => {
	const ledgers = await Promise.all(deployment.upstreams.map(async upstream => getJson(upstream, '/ledger') as Promise<LedgerCounts>));
	return mergeLedgers(ledgers);
};

/**
 * Reads the slot statistics of a zone's endpoints.
 *
 * @param deployment - The running deployment.
 * @param zone - Availability zone.
 * @returns Statistics by endpoint id.
 * @throws If the deployment has no such zone or its upstream process does not respond with status 200.
 */
export const zoneStatistics = async ({upstreams}: Pick<Deployment, 'upstreams'>, zone: string): Promise<Readonly<Record<string, SlotStatistics>>> => {
	const upstream = upstreams.find(({availabilityZone}) => availabilityZone === zone);
	if (upstream === undefined) {
		throw new Error(`the deployment has no availability zone ${zone}`);
	}

	const body = await getJson(upstream, '/statistics') as StatisticsBody;
	return body.endpoints;
};

/**
 * Counts the requests that a zone's endpoints have started.
 *
 * @param deployment - The running deployment.
 * @param zone - Availability zone.
 * @returns Number of starts since the endpoints started or their statistics were reset.
 */
export const zoneStarts = async (deployment: Pick<Deployment, 'upstreams'>, zone: string): Promise<number> => {
	const statistics = await zoneStatistics(deployment, zone);
	return Object.values(statistics)
		.flatMap(({startsPerSecond}) => startsPerSecond)
		.reduce((sum, starts) => sum + starts, 0);
};
