/**
 * Experiment `shift-headroom`: a shift to a region with too little spare capacity is held and resumes
 * when capacity returns.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import type {RouteLoad} from '@filbertwell/load/loadPlan';
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {ShiftHold} from '@filbertwell/types/split';
import {monotonicClock} from '@filbertwell/utils/clock';
import type {Experiment, Figures} from '../experiment.js';
import {groupedRuns, runGroupedLoad} from '../groupedLoad.js';
import type {GroupedRun} from '../movedShare.js';
import {largestOverSlots, zonesOf} from '../slotUse.js';
import {readRuns, resetStatistics} from '../upstreamRuns.js';

const service = 'inventory';
const destination = 'southeast';
const targetShare = 0.6;
const meanServiceMs = 50;
/** Endpoints of the destination that are drained at first, which leaves too few slots for the target share. */
const drainedEndpoints = ['inventory-03', 'inventory-04'];
const requestsPerSecond = 270;
const settleMs = 5000;
const heldMs = 13_000;
const resumedMs = 14_000;
const shareWindowMs = 2500;
const sharePerMinute = 3;
const overSlotsBound = 0.01;
const inForceTimeoutMs = 9000;
const stateIntervalMs = 500;

const routes: readonly RouteLoad[] = [{
	name: 'stock-check', service, method: 'GET', path: `/${service}/items/608`, kind: 'idempotent', requestClass: 'interactive', weight: 1, bodyBytes: 0, deadlineMs: 1000,
}];

const adapt = (intent: Intent): Intent => ({
	...intent,
	regionShares: [],
	shiftCaps: {plannedSharePerMinute: sharePerMinute, failoverSharePerMinute: sharePerMinute},
});

const destinationShare = (runs: readonly GroupedRun[], atMs: number): number => {
	const window = runs.filter(({startedAtMs}) => startedAtMs >= atMs - shareWindowMs && startedAtMs < atMs);
	return window.filter(({region}) => region === destination).length / Math.max(1, window.length);
};

const readShiftHolds = async (deployment: Deployment): Promise<readonly ShiftHold[]> => {
	const states = await Promise.all(deployment.entries().map(async entry => entry.state()));
	return states.flatMap(state => state?.shifts.filter(shift => shift.service === service).map(({heldBy}) => heldBy) ?? []);
};

/** Measures the share of the shifts in the entries' states that are held for lack of headroom. */
const measureHeadroomHolds = async (deployment: Deployment, durationMs: number): Promise<number> => {
	const observedHolds: ShiftHold[] = [];
	for (const startedAtMs = monotonicClock(); monotonicClock() - startedAtMs < durationMs;) {
		observedHolds.push(...await readShiftHolds(deployment)); // eslint-disable-line no-await-in-loop -- one sample after another
		await delay(stateIntervalMs); // eslint-disable-line no-await-in-loop -- one sample after another
	}

	return observedHolds.filter(hold => hold === 'headroom').length / Math.max(1, observedHolds.length);
};

const measure = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const zones = zonesOf(deployment, region => region === destination);
	const openIntent = deployment.intent();
	const drainedIntent = {
		...openIntent, drains: drainedEndpoints.map((name): Drain => ({
			target: 'endpoint', name, pace: 'immediate', reason: 'measured',
		})),
	};
	const shifts = [{service, region: destination, share: targetShare}];
	await deployment.waitInForce(await deployment.apply(drainedIntent), inForceTimeoutMs);
	const loading = runGroupedLoad(deployment, {
		name: 'headroom', routes, requestsPerSecond, durationMs: settleMs + heldMs + resumedMs, seed,
	});
	await delay(settleMs);
	const shiftedAtMs = monotonicClock();
	await deployment.apply({...drainedIntent, shifts});
	await resetStatistics(deployment);
	await delay(heldMs / 2);
	const heldByHeadroom = await measureHeadroomHolds(deployment, heldMs / 2);
	const overSlots = await largestOverSlots(deployment, service, zones);
	const capacityRestoredAtMs = monotonicClock();
	await deployment.apply({...openIntent, shifts});
	const results = await loading;
	const endedAtMs = monotonicClock();
	const runs = groupedRuns(await readRuns(deployment), 'headroom');
	return {
		shareBefore: destinationShare(runs, shiftedAtMs),
		shareHeld: destinationShare(runs, capacityRestoredAtMs),
		shareResumed: destinationShare(runs, endedAtMs - 1000),
		heldByHeadroom,
		overSlots,
		overSlotsAll: await largestOverSlots(deployment, service, zones),
		requests: results.reduce((sum, result) => sum + result.requests, 0),
		notAnswered: results.reduce((sum, {requests, outcomes}) => sum + requests - (outcomes.answered ?? 0), 0),
	};
};

const baselineFigures = (deployment: Deployment): Figures => {
	const zones = zonesOf(deployment, region => region === destination);
	const slots = deployment.intent().services.find(({name}) => name === service)!.endpoints
		.filter(({id, availabilityZone}) => zones.includes(availabilityZone) && !drainedEndpoints.includes(id))
		.reduce((sum, endpoint) => sum + endpoint.slots, 0);
	return {wantedOverSlots: targetShare * requestsPerSecond * meanServiceMs / 1000 / slots};
};

const isWithinBounds = (value: Figures): boolean => value.overSlots! <= overSlotsBound
	&& value.overSlotsAll! <= overSlotsBound
	&& value.heldByHeadroom! > 0
	&& value.shareHeld! < targetShare - 0.05
	&& value.shareResumed! > targetShare - 0.05;

/** Checks that a shift is held while its destination lacks spare capacity, and then resumes. */
export const experiment: Experiment = {
	name: 'shift-headroom',
	description: 'a shift to a region with too little spare capacity is held, then resumes',
	async run({seed}) {
		const deployment = await startDeployment({seed, adapt, serviceTimeMs: {kind: 'exponential', meanMs: meanServiceMs}});
		try {
			const value = await measure(deployment, seed);
			return {
				experiment: 'shift-headroom',
				seed,
				baseline: baselineFigures(deployment),
				value,
				ratio: value.overSlots,
				bound: 'no endpoint of the destination over its slots more than 1% of the time; the shift holds, then resumes',
				ok: isWithinBounds(value),
			};
		} finally {
			await deployment.stop();
		}
	},
};
