/**
 * Drains of an endpoint, an availability zone and an entry under load, by each signal there is.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {EntryProcess} from '@filbertwell/harness/entryProcess';
import {readLedger} from '@filbertwell/harness/ledgers';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {deploymentShape} from '@filbertwell/harness/deploymentShape';
import {checkPromises} from '@filbertwell/load/checkPromises';
import {defaultLoadPlan} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {Drain, Intent} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import type {Experiment, Figures} from '../experiment.js';
import {readRuns, setFaults, type LocatedRun} from '../upstreamRuns.js';

/** A place that was drained. */
type DrainedPlace = {
	readonly name: string;
	readonly signalledAtMs: number;
	readonly holds: (run: LocatedRun) => boolean;
};

/** An entry that was drained. */
type DrainedEntry = {
	readonly name: string;
	readonly signalledAtMs: number;
	readonly address: string;
};

const requestsPerSecond = 300;
const loadMs = 18_000;
const firstSignalsMs = 4000;
const secondSignalsMs = 5000;
const baselineMs = 4000;
const allowedMs = 3000;
const lookupLifetimeSeconds = 1;
const entryGraceMs = 15_000;
const sharePerMinute = 6;
const millisecondsPerSecond = 1000;

const adapt = (intent: Intent): Intent => ({
	...intent,
	shiftCaps: {plannedSharePerMinute: sharePerMinute, failoverSharePerMinute: sharePerMinute},
	lookups: {...intent.lookups, lifetimeSeconds: lookupLifetimeSeconds},
});

const startLoad = async (deployment: Deployment, durationMs: number, seed: number): Promise<LoadResult> => runLoad({
	...defaultLoadPlan,
	entries: deployment.entries().map(entry => entry.placement.callers),
	routes: deploymentShape('rodalar').routes,
	requestsPerSecond,
	durationMs,
	callerAddress: caller => `127.${caller % 6}.${caller}.1`,
	seed,
}, {idPrefix: `drain${durationMs}`});

const addDrain = async (deployment: Deployment, target: Drain['target'], name: string): Promise<number> => {
	const intent = deployment.intent();
	await deployment.apply({
		...intent,
		drains: [...intent.drains, {
			target, name, pace: 'immediate', reason: 'measured',
		}],
	});
	return monotonicClock();
};

const endpointOf = (deployment: Deployment, id: string) => deployment.intent().services.flatMap(({endpoints}) => endpoints).find(endpoint => endpoint.id === id)!;

const drainByConfiguration = async (deployment: Deployment, id: string): Promise<DrainedPlace> => ({
	name: 'endpoint', signalledAtMs: await addDrain(deployment, 'endpoint', id), holds: run => run.endpoint === id,
});

const drainByReport = async (deployment: Deployment, id: string): Promise<DrainedPlace> => {
	await setFaults(deployment, [endpointOf(deployment, id).availabilityZone], {leaving: true}, id);
	return {name: 'report', signalledAtMs: monotonicClock(), holds: run => run.endpoint === id};
};

const drainByList = async (deployment: Deployment, id: string): Promise<DrainedPlace> => {
	const {host, port, availabilityZone} = endpointOf(deployment, id);
	const registered = await deployment.platform.instances.register({
		id, kind: 'upstream', host, port, availabilityZone, state: 'leaving',
	});
	if (registered.isErr()) {
		throw new Error(`the platform did not list ${id}: ${registered.error.detail}`);
	}

	return {name: 'list', signalledAtMs: monotonicClock(), holds: run => run.endpoint === id};
};

const drainZone = async (deployment: Deployment, zone: string): Promise<DrainedPlace> => ({
	name: 'zone', signalledAtMs: await addDrain(deployment, 'availabilityZone', zone), holds: run => run.availabilityZone === zone,
});

const callerAddressOf = ({placement}: EntryProcess): string => `${placement.callers.host}:${placement.callers.port}`;

/** The entry that gets the most requests, so that its drain shows something. */
const busiestEntry = async (deployment: Deployment, except: readonly EntryProcess[]): Promise<EntryProcess> => {
	const candidates = deployment.entries().filter(entry => !except.includes(entry));
	const rates = await Promise.all(candidates.map(async entry => {
		const state = await entry.state();
		return state?.self.load.requestsPerSecond ?? 0;
	}));
	return candidates[rates.indexOf(Math.max(...rates))]!;
};

const placeFigures = ({name, signalledAtMs, holds}: DrainedPlace, runs: readonly LocatedRun[]): Figures => {
	const there = runs.filter(run => holds(run));
	const lastStartMs = Math.max(signalledAtMs, ...there.map(run => run.startedAtMs));
	const lastEndMs = Math.max(signalledAtMs, ...there.map(run => run.endedAtMs ?? Number.POSITIVE_INFINITY));
	return {
		[`${name}RunsBefore`]: there.filter(run => run.startedAtMs <= signalledAtMs).length,
		[`${name}LateRuns`]: there.filter(run => run.startedAtMs > signalledAtMs + allowedMs).length,
		[`${name}LastStartSeconds`]: (lastStartMs - signalledAtMs) / millisecondsPerSecond,
		[`${name}DrainSeconds`]: (lastEndMs - signalledAtMs) / millisecondsPerSecond,
	};
};

const entryFigures = ({name, signalledAtMs, address}: DrainedEntry, {records}: LoadResult, loadStartedAtMs: number): Figures => {
	const sent = records.filter(({attempts}) => attempts[0]?.address === address).map(({intendedAtMs}) => intendedAtMs + loadStartedAtMs);
	return {
		[`${name}RequestsBefore`]: sent.filter(atMs => atMs <= signalledAtMs).length,
		[`${name}LateRequests`]: sent.filter(atMs => atMs > signalledAtMs + allowedMs).length,
		[`${name}LastRequestSeconds`]: (Math.max(signalledAtMs, ...sent) - signalledAtMs) / millisecondsPerSecond,
	};
};

/** Kills an entry without a drain and counts the attempts that this broke. */
const measureKill = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const loading = startLoad(deployment, baselineMs, seed);
	await delay(baselineMs / 2);
	const killed = await busiestEntry(deployment, []);
	killed.process.signal('SIGKILL');
	const {records} = await loading;
	const broken = records.flatMap(({attempts}) => attempts).filter(({outcome}) => outcome === 'lost' || outcome === 'cut-off');
	const refused = records.flatMap(({attempts}) => attempts).filter(({outcome}) => outcome === 'unreachable');
	return {brokenAttempts: broken.length, unreachableAttempts: refused.length};
};

const measure = async (deployment: Deployment, seed: number) => {
	const loadStartedAtMs = monotonicClock();
	const loading = startLoad(deployment, loadMs, seed);
	await delay(firstSignalsMs);
	const drained = await busiestEntry(deployment, []);
	const places = [
		await drainByConfiguration(deployment, 'inventory-01'),
		await drainByReport(deployment, 'inventory-02'),
		await drainByList(deployment, 'catalogue-03'),
	];
	const byIntent: DrainedEntry = {name: 'entryDrain', address: callerAddressOf(drained), signalledAtMs: await addDrain(deployment, 'entry', drained.placement.id)};
	await delay(secondSignalsMs);
	places.push(await drainZone(deployment, 'northeast-b'));
	const stopped = await busiestEntry(deployment, [drained]);
	const stoppedEntry: DrainedEntry = {name: 'entryStop', address: callerAddressOf(stopped), signalledAtMs: monotonicClock()};
	await deployment.stopEntry(stopped.placement.id, entryGraceMs);
	const entryStopSeconds = (monotonicClock() - stoppedEntry.signalledAtMs) / millisecondsPerSecond;
	const result = await loading;
	const runs = await readRuns(deployment);
	const {examples, ...check} = checkPromises(result.records, await readLedger(deployment));
	return {
		requests: result.requests,
		...Object.assign({}, ...places.map(place => placeFigures(place, runs))) as Figures,
		...entryFigures(byIntent, result, loadStartedAtMs),
		...entryFigures(stoppedEntry, result, loadStartedAtMs),
		entryStopSeconds,
		...check,
	};
};

/** Drains by the configuration, an upstream's report, the platform's list and SIGTERM. */
export const experiment: Experiment = {
	name: 'drain',
	description: 'an endpoint, an availability zone and an entry drained under load, by each signal',
	async run({seed}) {
		const deployment = await startDeployment({seed, adapt, entrySettings: ['[stop]', 'drainMarginMs = 1000']});
		try {
			const value: Figures = await measure(deployment, seed);
			const baseline = await measureKill(deployment, seed);
			const late = Object.entries(value).filter(([name]) => name.endsWith('LateRuns') || name.endsWith('LateRequests')).reduce((sum, [, count]) => sum + count, 0);
			const broken = value.lost! + value.cutOff! + value.doubled! + value.notRunButRan! + value.foreign!;
			const used = value.endpointRunsBefore! * value.reportRunsBefore! * value.listRunsBefore! * value.zoneRunsBefore!;
			return {
				experiment: 'drain',
				seed,
				baseline,
				value,
				ratio: undefined,
				bound: 'no new work 3 s after the signal; 0 requests cut off',
				ok: late === 0 && broken === 0 && used > 0,
			};
		} finally {
			await deployment.stop();
		}
	},
};
