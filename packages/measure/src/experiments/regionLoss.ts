/**
 * Experiment `region-loss`: all upstreams and entries of a region fail at once and are restored later.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {readLedger} from '@filbertwell/harness/ledgers';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {idempotentRoute} from '@filbertwell/intent/buildIntent';
import {checkGuarantees} from '@filbertwell/load/checkGuarantees';
import type {RequestRecord} from '@filbertwell/load/callerRecord';
import type {RouteLoad} from '@filbertwell/load/loadPlan';
import {requestClasses, type Intent, type RequestClass} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import type {Experiment, Figures} from '../experiment.js';
import {groupedRuns, runGroupedLoad} from '../groupedLoad.js';
import type {GroupedRun} from '../movedShare.js';
import {largestOverSlots, zonesOf} from '../slotUse.js';
import {readRuns, resetStatistics, setFaults} from '../upstreamRuns.js';

const service = 'inventory';
const lostRegion = 'northeast';
const meanServiceMs = 80;
const requestsPerSecond = 450;
const settleMs = 5000;
const lossMs = 11_000;
const recoveryMs = 12_000;
/** Time after the loss that is excluded from the figures; also the length of the interval at the end that counts as recovered. */
const adjustmentMs = 3000;
const windowMs = 2000;
const lookupLifetimeSeconds = 1;
const plannedSharePerMinute = 3;
const failoverSharePerMinute = 20;
const overSlotsBound = 0.01;
const overshootBound = 1.2;
const deadlineMs = 1000;
const weights: Readonly<Record<RequestClass, number>> = {critical: 2, interactive: 5, background: 3};

const routes: readonly RouteLoad[] = requestClasses.map(requestClass => ({
	name: requestClass, service, method: 'GET', path: `/${service}/${requestClass}/608`, kind: 'idempotent', requestClass, weight: weights[requestClass], bodyBytes: 0, deadlineMs,
}));

const adapt = (intent: Intent): Intent => ({
	...intent,
	services: intent.services.map(candidate => candidate.name === service
		? {
			...candidate,
			routes: requestClasses.map(requestClass => idempotentRoute({
				name: requestClass, pathPrefix: `/${requestClass}`, requestClass, deadlineMs, hedge: false,
			})),
		}
		: candidate),
	regionShares: [],
	shiftCaps: {plannedSharePerMinute, failoverSharePerMinute},
	lookups: {...intent.lookups, lifetimeSeconds: lookupLifetimeSeconds},
});

const refusedShare = (records: readonly RequestRecord[], requestClass: RequestClass): number => {
	const classRecords = records.filter(record => record.requestClass === requestClass);
	return classRecords.filter(({outcome}) => outcome !== 'answered').length / Math.max(1, classRecords.length);
};

const classFigures = (records: readonly RequestRecord[]): Figures => Object.fromEntries(requestClasses.map(requestClass => [`${requestClass}Refused`, refusedShare(records, requestClass)]));

/** Ratio of the largest number of runs of the region in any window to the number in a window before the loss. */
const computeOvershoot = (runs: readonly GroupedRun[], usualRuns: number, fromMs: number, toMs: number): number => {
	const regionRuns = runs.filter(({region}) => region === lostRegion);
	let largest = 0;
	for (let atMs = fromMs; atMs + windowMs <= toMs; atMs += windowMs / 4) {
		largest = Math.max(largest, regionRuns.filter(({startedAtMs}) => startedAtMs >= atMs && startedAtMs < atMs + windowMs).length);
	}

	return largest / usualRuns;
};

const loseRegion = async (deployment: Deployment): Promise<readonly string[]> => {
	const entries = deployment.entries().filter(({placement}) => placement.region === lostRegion);
	for (const {process} of entries) {
		process.signal('SIGKILL');
	}

	await setFaults(deployment, zonesOf(deployment, region => region === lostRegion), {down: true});
	return entries.map(({placement}) => placement.id);
};

const restoreRegion = async (deployment: Deployment, entries: readonly string[]): Promise<void> => {
	await setFaults(deployment, zonesOf(deployment, region => region === lostRegion), {down: false});
	await Promise.all(entries.map(async id => deployment.replaceEntry(id)));
};

const measure = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const startedAtMs = monotonicClock();
	const loading = runGroupedLoad(deployment, {
		name: 'loss', routes, requestsPerSecond, durationMs: settleMs + lossMs + recoveryMs, seed,
	});
	await delay(settleMs);
	const lostAtMs = monotonicClock();
	const entries = await loseRegion(deployment);
	await delay(adjustmentMs);
	await resetStatistics(deployment);
	await delay(lossMs - adjustmentMs);
	const remaining = zonesOf(deployment, region => region !== lostRegion);
	const overSlots = await largestOverSlots(deployment, service, remaining);
	await resetStatistics(deployment);
	const restoredAtMs = monotonicClock();
	await restoreRegion(deployment, entries);
	const results = await loading;
	const endedAtMs = monotonicClock();

	const records = results.flatMap(result => result.records);
	const between = (fromMs: number, toMs: number) => records.filter(({intendedAtMs}) => intendedAtMs + startedAtMs >= fromMs && intendedAtMs + startedAtMs < toMs);
	const runs = groupedRuns(await readRuns(deployment), 'loss');
	const before = runs.filter(run => run.startedAtMs > startedAtMs + (settleMs / 2) && run.startedAtMs < lostAtMs);
	const usual = before.filter(({region}) => region === lostRegion).length * windowMs / (settleMs / 2);
	const {examples, ...check} = checkGuarantees(records, await readLedger(deployment));
	const lostAfterAdjustment = between(lostAtMs + adjustmentMs, restoredAtMs).filter(({outcome}) => outcome === 'no-answer').length;
	return {
		requests: records.length,
		...Object.fromEntries(Object.entries(classFigures(between(startedAtMs, lostAtMs))).map(([name, part]) => [`${name}Before`, part])),
		...classFigures(between(lostAtMs + adjustmentMs, restoredAtMs)),
		...Object.fromEntries(Object.entries(classFigures(between(endedAtMs - adjustmentMs, endedAtMs))).map(([name, part]) => [`${name}After`, part])),
		overSlots,
		overSlotsInRecovery: await largestOverSlots(deployment, service, zonesOf(deployment, () => true)),
		overshoot: computeOvershoot(runs, usual, restoredAtMs, endedAtMs),
		withoutAnswerAtLoss: check.lost - lostAfterAdjustment,
		withoutAnswer: lostAfterAdjustment,
		notRunButRan: check.notRunButRan,
	};
};

const baselineFigures = (deployment: Deployment): Figures => {
	const remaining = zonesOf(deployment, region => region !== lostRegion);
	const slots = deployment.intent().services.find(({name}) => name === service)!.endpoints
		.filter(({availabilityZone}) => remaining.includes(availabilityZone))
		.reduce((sum, endpoint) => sum + endpoint.slots, 0);
	const offered = requestsPerSecond * meanServiceMs / 1000;
	return {offeredOverRemainingSlots: offered / slots, refusedWithoutClasses: Math.max(0, 1 - (slots / offered))};
};

const isWithinBounds = (value: Figures): boolean => {
	const isInClassOrder = value.criticalRefused! <= value.interactiveRefused! && value.interactiveRefused! <= value.backgroundRefused!;
	return isInClassOrder
		&& value.criticalRefused! <= 0.01
		&& value.overSlots! <= overSlotsBound
		&& value.overSlotsInRecovery! <= overSlotsBound
		&& value.overshoot! <= overshootBound
		&& value.withoutAnswer! === 0
		&& value.notRunButRan! === 0;
};

/** Measures slot use, rejections by request class and recovery when a region is lost. */
export const experiment: Experiment = {
	name: 'region-loss',
	description: 'all upstreams and entries of a region fail at once and are restored',
	async run({seed}) {
		const deployment = await startDeployment({seed, adapt, serviceTimeMs: {kind: 'exponential', meanMs: meanServiceMs}});
		try {
			const value = await measure(deployment, seed);
			return {
				experiment: 'region-loss',
				seed,
				baseline: baselineFigures(deployment),
				value,
				ratio: value.overshoot,
				bound: 'others over their slots at most 1% of the time, lowest class refused first, recovery at most 1.2x the runs before',
				ok: isWithinBounds(value),
			};
		} finally {
			await deployment.stop();
		}
	},
};
