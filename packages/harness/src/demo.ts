#!/usr/bin/env node
/**
 * `npm run demo`: runs a complete deployment on loopback under load, drains an availability zone
 * and replaces an entry meanwhile, and checks the delivery guarantees against the upstreams' ledgers.
 */
import process from 'node:process';
import {checkGuarantees, type PromiseCheck} from '@filbertwell/load/checkGuarantees';
import {defaultLoadPlan} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {Intent} from '@filbertwell/types/intent';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {deploymentNames, deploymentShape, type DeploymentName} from './deploymentShape.js';
import {readLedger, zoneStarts} from './ledgers.js';
import {startDeployment, type Deployment} from './startDeployment.js';
import {waitUntil} from './waitUntil.js';

type DemoOptions = {
	readonly deployment: DeploymentName;
	readonly seconds: number;
	readonly requestsPerSecond: number;
	readonly seed: number;
};

type DrainDurations = {
	readonly inForceSeconds: number;
	readonly drainSeconds: number;
};

/** Share of traffic that may move per minute; high, so that a drain completes within the demo. */
const demoSharePerMinute = 6;
const lookupLifetimeSeconds = 2;
const inForceTimeoutMs = 9000;
const entryStopGraceMs = 20_000;
const drainCheckIntervalMs = 250;
/** Time without a new request after which a zone counts as drained. */
const quietPeriodMs = 1000;
const millisecondsPerSecond = 1000;

const adaptIntent = (intent: Intent): Intent => ({
	...intent,
	shiftCaps: {plannedSharePerMinute: demoSharePerMinute, failoverSharePerMinute: demoSharePerMinute},
	lookups: {...intent.lookups, lifetimeSeconds: lookupLifetimeSeconds},
});

const parseOptions = async (): Promise<DemoOptions> => yargs(hideBin(process.argv))
	.scriptName('npm run demo --')
	.option('deployment', {choices: deploymentNames, default: 'rodalar' as const, describe: 'Shape of the deployment'})
	.option('seconds', {type: 'number', default: 20, describe: 'Duration of the load in seconds'})
	.option('requests-per-second', {type: 'number', default: 400, describe: 'Rate of the load in requests a second'})
	.option('seed', {type: 'number', default: 1, describe: 'Seed of the load and of the service times'})
	.strict()
	.parseAsync();

const logProgress = (line: string): void => {
	console.log(`${(process.uptime()).toFixed(1).padStart(6)} s  ${line}`);
};

/** Waits until the zone's upstreams start no new request for `quietPeriodMs`; returns the seconds until the last start. */
const waitUntilDrained = async (deployment: Deployment, zone: string, limitMs: number): Promise<number> => {
	const startedAt = performance.now();
	let starts = await zoneStarts(deployment, zone);
	let lastChangeAt = startedAt;
	await waitUntil(async () => {
		const next = await zoneStarts(deployment, zone);
		if (next !== starts) {
			starts = next;
			lastChangeAt = performance.now();
		}

		await waitUnlessAborted(drainCheckIntervalMs, new AbortController().signal);
		return performance.now() - lastChangeAt > quietPeriodMs;
	}, limitMs);
	return (lastChangeAt - startedAt) / millisecondsPerSecond;
};

const drainZone = async (deployment: Deployment, limitMs: number): Promise<DrainDurations> => {
	const intent = deployment.intent();
	const zone = intent.regions.at(-1)!.availabilityZones.at(-1)!;
	logProgress(`draining availability zone ${zone}`);
	const version = await deployment.apply({
		...intent,
		drains: [...intent.drains, {
			target: 'availabilityZone', name: zone, pace: 'capped', reason: 'demo',
		}],
	});
	const acceptedAt = performance.now();
	const isInForce = await deployment.waitInForce(version, inForceTimeoutMs);
	const inForceSeconds = isInForce ? (performance.now() - acceptedAt) / millisecondsPerSecond : Number.POSITIVE_INFINITY;
	logProgress(`version ${version} is in force everywhere`);
	const drainSeconds = await waitUntilDrained(deployment, zone, limitMs);
	logProgress(`availability zone ${zone} receives no more requests`);
	return {inForceSeconds, drainSeconds};
};

const replaceEntry = async (deployment: Deployment): Promise<void> => {
	const {id} = deployment.entries()[1]!.placement;
	logProgress(`stopping entry ${id}`);
	const stopped = deployment.stopEntry(id, entryStopGraceMs);
	const replacement = await deployment.replaceEntry(id);
	logProgress(`entry ${replacement.placement.id} starts as its replacement`);
	await stopped;
	logProgress(`entry ${id} has exited`);
};

const printTable = ({requests, outcomes, latencies}: LoadResult, check: PromiseCheck, drainDurations: DrainDurations): void => {
	const {examples, ...counts} = check;
	console.table({requests, ...outcomes});
	console.table(Object.fromEntries(Object.entries(latencies).map(([name, {count, p50Ms, p99Ms, maximumMs}]) => [name, {
		count, p50Ms, p99Ms, maximumMs,
	}])));
	console.table({...counts, ...drainDurations});
	for (const example of examples) {
		console.log(example);
	}
};

const areGuaranteesMet = (check: PromiseCheck, drainDurations: DrainDurations): boolean => check.lost + check.doubled + check.cutOff + check.notRunButRan + check.foreign === 0
	&& drainDurations.inForceSeconds <= inForceTimeoutMs / millisecondsPerSecond;

const runDemo = async (options: DemoOptions): Promise<boolean> => {
	logProgress(`starting ${options.deployment}: platform, upstreams and 8 entries`);
	const deployment = await startDeployment({
		name: options.deployment, seed: options.seed, adapt: adaptIntent, entrySettings: ['[stop]', 'drainMarginMs = 1000'],
	});
	try {
		logProgress(`ready; sending ${options.requestsPerSecond} requests a second for ${options.seconds} s`);
		const durationMs = options.seconds * millisecondsPerSecond;
		const loading = runLoad({
			...defaultLoadPlan,
			entries: deployment.entries().map(entry => entry.placement.callers),
			routes: deploymentShape(options.deployment).routes,
			requestsPerSecond: options.requestsPerSecond,
			durationMs,
			callerAddress: caller => `127.${caller % 8}.0.1`,
			seed: options.seed,
		});
		await waitUnlessAborted(durationMs / 10, new AbortController().signal);
		const [drainDurations] = await Promise.all([drainZone(deployment, durationMs * 0.7), replaceEntry(deployment)]);
		const result = await loading;
		const check = checkGuarantees(result.records, await readLedger(deployment));
		printTable(result, check, drainDurations);
		const reads = result.latencies.interactive;
		console.log(JSON.stringify({
			requests: result.requests,
			lost: check.lost,
			doubled: check.doubled,
			cutOff: check.cutOff,
			notRunButRan: check.notRunButRan,
			inForceSeconds: Number(drainDurations.inForceSeconds.toFixed(2)),
			drainSeconds: Number(drainDurations.drainSeconds.toFixed(2)),
			p50Ms: reads?.p50Ms,
			p99Ms: reads?.p99Ms,
		}));
		return areGuaranteesMet(check, drainDurations);
	} finally {
		await deployment.stop();
	}
};

process.exitCode = await runDemo(await parseOptions()) ? 0 : 1;
