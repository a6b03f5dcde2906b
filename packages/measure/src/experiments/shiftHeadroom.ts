/**
 * A shift to a region with too little room holds, and goes on when there is room.
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
const wantedShare = 0.6;
const meanServiceMs = 50;
/** Endpoints of the destination that are drained at first, which leaves it too few slots for the wanted share. */
const closedEndpoints = ['inventory-03', 'inventory-04'];
const requestsPerSecond = 270;
const settleMs = 5000;
const heldMs = 13_000;
const resumedMs = 14_000;
const shareMs = 2500;
const sharePerMinute = 3;
const overSlotsBound = 0.01;
const inForceMs = 9000;
const stateIntervalMs = 500;

const routes: readonly RouteLoad[] = [{
	name: 'stock-check', service, method: 'GET', path: `/${service}/items/608`, kind: 'idempotent', requestClass: 'interactive', weight: 1, bodyBytes: 0, deadlineMs: 1000,
}];

const adapt = (intent: Intent): Intent => ({
	...intent,
	regionShares: [],
	shiftCaps: {plannedSharePerMinute: sharePerMinute, failoverSharePerMinute: sharePerMinute},
});

const shareOf = (runs: readonly GroupedRun[], atMs: number): number => {
	const window = runs.filter(({startedAtMs}) => startedAtMs >= atMs - shareMs && startedAtMs < atMs);
	return window.filter(({region}) => region === destination).length / Math.max(1, window.length);
};

const holdsNow = async (deployment: Deployment): Promise<readonly ShiftHold[]> => {
	const states = await Promise.all(deployment.entries().map(async entry => entry.state()));
	return states.flatMap(state => state?.shifts.filter(shift => shift.service === service).map(({heldBy}) => heldBy) ?? []);
};

/** Part of the entries' answers that say headroom holds the shift. */
const watchHolds = async (deployment: Deployment, durationMs: number): Promise<number> => {
	const seen: ShiftHold[] = [];
	for (const startedAtMs = monotonicClock(); monotonicClock() - startedAtMs < durationMs;) {
		seen.push(...await holdsNow(deployment)); // eslint-disable-line no-await-in-loop -- one look after another
		await delay(stateIntervalMs); // eslint-disable-line no-await-in-loop -- one look after another
	}

	return seen.filter(hold => hold === 'headroom').length / Math.max(1, seen.length);
};

const measure = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const zones = zonesOf(deployment, region => region === destination);
	const open = deployment.intent();
	const closed = {
		...open, drains: closedEndpoints.map((name): Drain => ({
			target: 'endpoint', name, pace: 'immediate', reason: 'measured',
		})),
	};
	const shifts = [{service, region: destination, share: wantedShare}];
	await deployment.waitInForce(await deployment.apply(closed), inForceMs);
	const loading = runGroupedLoad(deployment, {
		name: 'headroom', routes, requestsPerSecond, durationMs: settleMs + heldMs + resumedMs, seed,
	});
	await delay(settleMs);
	const shiftedAtMs = monotonicClock();
	await deployment.apply({...closed, shifts});
	await resetStatistics(deployment);
	await delay(heldMs / 2);
	const heldByHeadroom = await watchHolds(deployment, heldMs / 2);
	const overSlots = await largestOverSlots(deployment, service, zones);
	const roomAtMs = monotonicClock();
	await deployment.apply({...open, shifts});
	const results = await loading;
	const endedAtMs = monotonicClock();
	const runs = groupedRuns(await readRuns(deployment), 'headroom');
	return {
		shareBefore: shareOf(runs, shiftedAtMs),
		shareHeld: shareOf(runs, roomAtMs),
		shareResumed: shareOf(runs, endedAtMs - 1000),
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
		.filter(({id, availabilityZone}) => zones.includes(availabilityZone) && !closedEndpoints.includes(id))
		.reduce((sum, endpoint) => sum + endpoint.slots, 0);
	return {wantedOverSlots: wantedShare * requestsPerSecond * meanServiceMs / 1000 / slots};
};

const isKept = (value: Figures): boolean => value.overSlots! <= overSlotsBound
	&& value.overSlotsAll! <= overSlotsBound
	&& value.heldByHeadroom! > 0
	&& value.shareHeld! < wantedShare - 0.05
	&& value.shareResumed! > wantedShare - 0.05;

/** A shift that waits for room. */
export const experiment: Experiment = {
	name: 'shift-headroom',
	description: 'a shift to a region with too little room holds, then resumes',
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
				ok: isKept(value),
			};
		} finally {
			await deployment.stop();
		}
	},
};
