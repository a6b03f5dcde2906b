/**
 * Callers that leave while a real entry process is short of processor time. It read their requests late, with the close of
 * the connection unread behind them, and upstreams ran the requests.
 */
import type {Intent, Route} from '@filbertwell/types/intent';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {type ProcessUnderTest, runStandstill, runThrottled} from '../goneCallerRuns.js';
import {
	callOnConnection, openCallerConnection, type RecordingEndpoint, startRecordingEndpoint,
} from '../leavingCallers.js';
import {type Deployment, startDeployment} from '../startDeployment.js';

const slots = 60;
const routes: readonly Route[] = (['idempotent', 'atMostOnce'] as const).map(kind => ({
	name: kind, methods: [], pathPrefix: `/${kind}`, requestClass: 'interactive', kind, deadlineMs: 4000, hedge: false, claimOutage: 'refuse',
}));

let deployment: Deployment | undefined;
let endpoint: RecordingEndpoint | undefined;

beforeAll(async () => {
	endpoint = await startRecordingEndpoint(() => ({}));
	deployment = await startDeployment({entries: 1});
	await deployment.waitInForce(await deployment.apply(withService(deployment.intent(), endpoint)), 10_000);
}, 60_000);

afterAll(async () => {
	endpoint?.close();
	await deployment?.stop();
});

const withService = (intent: Intent, {address}: RecordingEndpoint): Intent => ({
	...intent,
	regionShares: [],
	services: [...intent.services, {
		name: 'recorded',
		pathPrefix: '/recorded',
		hosts: [],
		endpoints: [{
			id: 'recorded-1', host: address.host, port: address.port, availabilityZone: intent.regions[0]!.availabilityZones[0]!, slots,
		}],
		routes,
		maximumBodyBytes: 1000,
	}],
});

let runNumber = 0;

/** The entry, with a path of its own for each run. */
const entryUnderTest = async (kind: string): Promise<ProcessUnderTest> => {
	runNumber += 1;
	const [entry] = deployment!.entries();
	const {port} = entry!.placement.callers;
	const strippedPrefix = '/recorded';
	const pathPrefix = `${strippedPrefix}/${kind}/run-${runNumber}`;
	await expect.poll(async () => callOnConnection(openCallerConnection(port), `${pathPrefix}/first`), {timeout: 10_000, interval: 200}).toContain('200 OK');
	return {
		running: entry!.process, port, endpoint: endpoint!, pathPrefix, strippedPrefix,
	};
};

describe.each(['idempotent', 'atMostOnce'])('%s requests of callers that have left', kind => {
	test.each(['new', 'kept'] as const)('reach no upstream after the entry stood still, on %s connections', async use => {
		const {reached, responseAfterwards} = await runStandstill(await entryUnderTest(kind), use);
		expect(responseAfterwards).toContain('200 OK');
		expect(reached).toEqual([]);
	}, 60_000);

	test('do not reach an upstream half a second after the close if the entry has a tenth of a processor', async () => {
		const {late, reachedCount} = await runThrottled(await entryUnderTest(kind));
		console.log(`${kind}: ${late.length} requests arrived late, ${reachedCount} at all`);
		expect(late).toEqual([]);
	}, 60_000);
});
