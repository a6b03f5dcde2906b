/**
 * Experiment `order-faults`: orders with resends through random entries, while the table service fails
 * and entries are killed, stopped and paused. The baseline treats the same orders as idempotent.
 */
import process from 'node:process';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {checkGuarantees, type PromiseCheck} from '@filbertwell/load/checkGuarantees';
import {defaultLoadPlan, type LoadPlan, type RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import {createRandom} from '@filbertwell/utils/random';
import {runDeploymentFaults, type FaultCounts} from '../deploymentFaults.js';
import type {Experiment, Figures} from '../experiment.js';
import {readLedgers} from '../readLedgers.js';

type Trial = {
	readonly load: LoadResult;
	readonly check: PromiseCheck;
	readonly faults: FaultCounts;
};

const orderCount = 2000;
const ordersPerSecond = 80;
/** Upper limit of the duration, long enough for `orderCount` orders. */
const maximumLoadMs = 60_000;
const deadlineMs = 1500;
const upstreamFaults = {failBeforeProbability: 0.02, resetAfterProbability: 0.02, failAfterProbability: 0.01};

const orderRoute: RouteLoad = {
	name: 'place-order',
	service: 'orders',
	method: 'POST',
	path: '/orders/place',
	kind: 'atMostOnce',
	requestClass: 'critical',
	weight: 1,
	bodyBytes: 300,
	deadlineMs,
};

const makeRoutesIdempotent = (intent: Intent): Intent => ({
	...intent,
	services: intent.services.map(service => ({
		...service, routes: service.routes.map(route => ({...route, kind: 'idempotent' as const, hedge: false})),
	})),
});

const addressesOf = (deployment: Deployment): SocketAddress[] => deployment.entries().map(({placement}) => placement.callers);

const runTrial = async (seed: number, adapt: (intent: Intent) => Intent): Promise<Trial> => {
	const deployment = await startDeployment({name: 'rodalar', seed, adapt});
	try {
		const entries = addressesOf(deployment);
		const plan: LoadPlan = {
			...defaultLoadPlan,
			entries,
			entryChoice: 'fixed',
			routes: [orderRoute],
			requestsPerSecond: ordersPerSecond,
			durationMs: maximumLoadMs,
			maximumRequests: orderCount,
			seed,
		};
		const endController = new AbortController();
		const faultRun = runDeploymentFaults({
			deployment,
			random: createRandom(seed + 1),
			signal: endController.signal,
			onEntriesChanged() {
				entries.splice(0, entries.length, ...addressesOf(deployment));
			},
			upstreamFaults,
			protectedEntryIds: new Set(),
		});
		const load = await runLoad(plan);
		endController.abort();
		const faults = await faultRun;
		return {load, check: checkGuarantees(load.records, await readLedgers(deployment)), faults};
	} finally {
		await deployment.stop();
	}
};

const toFigures = ({load, check, faults}: Trial): Figures => {
	const {examples, ...counts} = check;
	return {
		orders: load.requests,
		...counts,
		answered: load.outcomes.answered ?? 0,
		notRun: load.outcomes['not-run'] ?? 0,
		inDoubt: load.outcomes['in-doubt'] ?? 0,
		attemptsPerOrder: Number(load.attemptsPerRequest.toFixed(3)),
		p50Ms: load.latencies.critical?.p50Ms ?? 0,
		p99Ms: load.latencies.critical?.p99Ms ?? 0,
		...faults,
	};
};

/** Checks that each order runs at most once and that its outcome is reported correctly. */
export const experiment: Experiment = {
	name: 'order-faults',
	description: '2,000 orders, resends through random entries, store faults, entries killed, stopped and paused',
	async run({seed}) {
		const baseline = await runTrial(seed, makeRoutesIdempotent);
		const value = await runTrial(seed, intent => intent);
		const {lost, doubled, notRunButRan, foreign, inDoubtUnasked, examples} = value.check;
		if (examples.length > 0) {
			process.stderr.write(`order-faults: ${examples.join(', ')}\n`);
		}

		return {
			experiment: 'order-faults',
			seed,
			baseline: toFigures(baseline),
			value: toFigures(value),
			ratio: undefined,
			bound: '0 run twice, 0 refused as not run that ran, 0 without an answer or an in-doubt that can be asked after',
			ok: [lost, doubled, notRunButRan, foreign, inDoubtUnasked].every(count => count === 0),
		};
	},
};
