/**
 * Experiment `shift-cap`: drains a region with capped pace while entries are killed, replaced and
 * paused. The moved share is counted at the upstreams. The baseline is an immediate drain.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {waitUntil} from '@filbertwell/harness/waitUntil';
import type {RouteLoad} from '@filbertwell/load/loadPlan';
import type {Drain, Intent} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import type {Experiment, Figures} from '../experiment.js';
import {groupedRuns, runGroupedLoad} from '../groupedLoad.js';
import {findLargestMove} from '../movedShare.js';
import {readRuns} from '../upstreamRuns.js';

const sharePerMinute = 1.2;
const lookupLifetimeSeconds = 2;
const requestsPerSecond = 450;
const settleMs = 5000;
const measuredMs = 28_000;
const tailMs = 2000;
const baselineMs = 9000;
const baselineLeadMs = 2000;
const windowsMs = [5000, 10_000];
const baselineWindowMs = 5000;
const pauseMs = 3000;
const faultIntervalMs = 3000;
const startTimeoutMs = 10_000;
const millisecondsPerMinute = 60_000;
const drainedRegion = 'northeast';
const immediatelyDrainedRegion = 'southeast';

const routes: readonly RouteLoad[] = [{
	name: 'stock-check', service: 'inventory', method: 'GET', path: '/inventory/items/608', kind: 'idempotent', requestClass: 'interactive', weight: 1, bodyBytes: 0, deadlineMs: 1000,
}];

const adapt = (intent: Intent): Intent => ({
	...intent,
	regionShares: [],
	shiftCaps: {plannedSharePerMinute: sharePerMinute, failoverSharePerMinute: sharePerMinute},
	lookups: {...intent.lookups, lifetimeSeconds: lookupLifetimeSeconds},
});

const drainRegion = async (deployment: Deployment, name: string, pace: Drain['pace']): Promise<void> => {
	const intent = deployment.intent();
	await deployment.apply({
		...intent,
		drains: [...intent.drains, {
			target: 'region', name, pace, reason: 'measured',
		}],
	});
};

const entryIn = (deployment: Deployment, zone: string) => deployment.entries().find(entry => entry.placement.availabilityZone === zone)!;

const pauseEntry = async (deployment: Deployment, zone: string): Promise<void> => {
	const entry = entryIn(deployment, zone);
	entry.process.signal('SIGSTOP');
	await delay(pauseMs);
	entry.process.signal('SIGCONT');
};

/** Kills an entry of a zone, starts a replacement and waits until it is ready. */
const killAndReplace = async (deployment: Deployment, zone: string): Promise<void> => {
	const entry = entryIn(deployment, zone);
	entry.process.signal('SIGKILL');
	await entry.process.exited;
	const replacement = await deployment.replaceEntry(entry.placement.id);
	await waitUntil(async () => replacement.isReady(), startTimeoutMs);
};

/** Kills and pauses entries of the drained region, of its destinations and of both at once. */
const injectEntryFaults = async (deployment: Deployment): Promise<void> => {
	await delay(faultIntervalMs);
	await killAndReplace(deployment, 'northeast-a');
	await delay(faultIntervalMs);
	await Promise.all([pauseEntry(deployment, 'northeast-b'), pauseEntry(deployment, 'south-a')]);
	await delay(faultIntervalMs);
	await killAndReplace(deployment, 'southeast-a');
	await pauseEntry(deployment, 'northeast-a');
};

const measure = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const loading = runGroupedLoad(deployment, {
		name: 'capped', routes, requestsPerSecond, durationMs: settleMs + measuredMs, seed,
	});
	await delay(settleMs);
	await drainRegion(deployment, drainedRegion, 'capped');
	const fromMs = monotonicClock() - tailMs;
	await injectEntryFaults(deployment);
	const results = await loading;
	const toMs = monotonicClock() - tailMs;
	const runs = groupedRuns(await readRuns(deployment), 'capped');
	const moves = windowsMs.map(windowMs => {
		const {moved, atMs} = findLargestMove(runs, {fromMs, toMs, windowMs});
		return {
			[`moved${windowMs / 1000}s`]: moved,
			[`moved${windowMs / 1000}sAtSeconds`]: atMs / 1000,
			[`ofCap${windowMs / 1000}s`]: moved / (sharePerMinute * windowMs / millisecondsPerMinute),
		};
	});
	const finalRuns = runs.filter(({startedAtMs}) => startedAtMs > toMs - tailMs);
	return {
		...Object.assign({}, ...moves) as Figures,
		leftInRegion: finalRuns.filter(({region}) => region === drainedRegion).length / Math.max(1, finalRuns.length),
		requests: results.reduce((sum, result) => sum + result.requests, 0),
		withoutAnswer: results.reduce((sum, {outcomes}) => sum + (outcomes['no-answer'] ?? 0), 0),
		notRun: results.reduce((sum, {outcomes}) => sum + (outcomes['not-run'] ?? 0), 0),
	};
};

/** Measures the same traffic during a drain with immediate pace, as the baseline. */
const measureImmediateDrain = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const fromMs = monotonicClock();
	const loading = runGroupedLoad(deployment, {
		name: 'jump', routes, requestsPerSecond, durationMs: baselineMs, seed,
	});
	await delay(baselineLeadMs);
	await drainRegion(deployment, immediatelyDrainedRegion, 'immediate');
	await loading;
	const runs = groupedRuns(await readRuns(deployment), 'jump');
	const {moved} = findLargestMove(runs, {fromMs, toMs: monotonicClock() - (tailMs / 2), windowMs: baselineWindowMs});
	return {moved5s: moved, ofCap5s: moved / (sharePerMinute * baselineWindowMs / millisecondsPerMinute)};
};

/** Measures the share of traffic that moves while entries are killed, replaced and paused. */
export const experiment: Experiment = {
	name: 'shift-cap',
	description: 'a region drained at a cap while entries are killed, replaced and paused',
	async run({seed}) {
		const deployment = await startDeployment({seed, adapt, entrySettings: ['[stop]', 'drainMarginMs = 1000']});
		try {
			const value = await measure(deployment, seed);
			const baseline = await measureImmediateDrain(deployment, seed);
			const ratio = Math.max(...windowsMs.map(windowMs => value[`ofCap${windowMs / 1000}s`]!));
			return {
				experiment: 'shift-cap', seed, baseline, value, ratio, bound: 'moved share in any window at most 1.0x the cap', ok: ratio <= 1 && value.moved10s! > 0.05,
			};
		} finally {
			await deployment.stop();
		}
	},
};
