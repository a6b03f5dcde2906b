#!/usr/bin/env node
/**
 * `npm run soak`: runs a complete deployment under mixed load with random faults, checks the delivery
 * guarantees against the upstreams' ledgers and samples memory and handles of one entry throughout.
 */
import process from 'node:process';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {checkGuarantees} from '@filbertwell/load/checkGuarantees';
import type {RequestRecord} from '@filbertwell/load/callerRecord';
import {defaultLoadPlan, type LoadPlan, type RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad} from '@filbertwell/load/runLoad';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import {createRandom} from '@filbertwell/utils/random';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runDeploymentFaults} from './deploymentFaults.js';
import {sampleUse, compareUse, type UseSample} from './processUse.js';
import {readLedgers} from './readLedgers.js';

const millisecondsPerMinute = 60_000;
const requestsPerSecond = 120;
const sampleIntervalMs = 2000;
const upstreamFaults = {
	failBeforeProbability: 0.01, resetAfterProbability: 0.005, truncateProbability: 0.002, stragglerProbability: 0.01,
};

const readRoute: RouteLoad = {
	name: 'stock-check', service: 'inventory', method: 'GET', path: '/inventory/items/1', kind: 'idempotent', requestClass: 'interactive', weight: 8, bodyBytes: 0, deadlineMs: 1000,
};
const orderRoute: RouteLoad = {
	name: 'place-order', service: 'orders', method: 'POST', path: '/orders/place', kind: 'atMostOnce', requestClass: 'critical', weight: 2, bodyBytes: 300, deadlineMs: 2000,
};

const parseArguments = async () => yargs(hideBin(process.argv))
	.scriptName('npm run soak --')
	.usage('$0 --minutes N [--seed N]')
	.option('minutes', {type: 'number', demandOption: true, describe: 'Duration of the load in minutes'})
	.option('seed', {type: 'number', default: 1, describe: 'Seed of the faults and of the load'})
	.example('$0 --minutes 10 --seed 3', 'Ten minutes of random faults')
	.strict()
	.parse();

const addressesOf = (deployment: Deployment) => deployment.entries().map(({placement}) => placement.callers);

const sampleUntilAborted = async (pid: number, signal: AbortSignal): Promise<readonly UseSample[]> => {
	const samples: UseSample[] = [];
	do {
		const sample = await sampleUse(pid); // eslint-disable-line no-await-in-loop -- samples follow the clock
		if (sample !== undefined) {
			samples.push(sample);
		}
	} while (await waitUnlessAborted(sampleIntervalMs, signal)); // eslint-disable-line no-await-in-loop -- samples follow the clock

	return samples;
};

const soak = async (deployment: Deployment, minutes: number, seed: number) => {
	const entries = addressesOf(deployment);
	const sampledEntry = deployment.entries()[0]!;
	const endController = new AbortController();
	const faultRun = runDeploymentFaults({
		deployment,
		random: createRandom(seed + 1),
		signal: endController.signal,
		onEntriesChanged() {
			entries.splice(0, entries.length, ...addressesOf(deployment));
		},
		upstreamFaults,
		protectedEntryIds: new Set([sampledEntry.placement.id]),
	});
	const sampling = sampleUntilAborted(sampledEntry.process.pid, endController.signal);
	const records: RequestRecord[] = [];
	const plan: LoadPlan = {
		...defaultLoadPlan, entries, routes: [readRoute, orderRoute], requestsPerSecond, durationMs: minutes * millisecondsPerMinute, seed,
	};
	const load = await runLoad(plan, {
		onRecord(record) {
			records.push(record);
		},
	});
	endController.abort();
	const faults = await faultRun;
	const use = compareUse(await sampling);
	const ledger = await readLedgers(deployment);
	const orders = checkGuarantees(records.filter(({kind}) => kind === 'atMostOnce'), ledger);
	const reads = checkGuarantees(records.filter(({kind}) => kind === 'idempotent'), ledger);
	const violationCounts = [orders.lost, orders.doubled, orders.notRunButRan, orders.foreign, orders.inDoubtUnasked, reads.notRunButRan, reads.foreign];
	return {
		seed,
		minutes,
		requests: load.requests,
		outcomes: load.outcomes,
		orders,
		reads: {
			unanswered: reads.lost, notRunButRan: reads.notRunButRan, foreign: reads.foreign, cutOff: reads.cutOff,
		},
		faults,
		use,
		ok: violationCounts.every(count => count === 0) && use.flat,
	};
};

const options = await parseArguments();
const deployment = await startDeployment({name: 'rodalar', seed: options.seed});
try {
	const result = await soak(deployment, options.minutes, options.seed);
	process.stdout.write(`${JSON.stringify(result)}\n`);
	process.exitCode = result.ok ? 0 : 1;
} finally {
	await deployment.stop();
}
