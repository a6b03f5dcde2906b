/**
 * Experiment `drain`: drains endpoints, an availability zone and entries under load, once by each
 * supported signal. The baseline kills an entry without a drain.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {EntryProcess} from '@filbertwell/harness/entryProcess';
import {readLedger} from '@filbertwell/harness/ledgers';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {deploymentShape} from '@filbertwell/harness/deploymentShape';
import {checkGuarantees} from '@filbertwell/load/checkGuarantees';
import {defaultLoadPlan} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {Drain, Intent} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import type {Experiment, Figures} from '../experiment.js';
import {readRuns, setFaults, type LocatedRun} from '../upstreamRuns.js';

/** Endpoint or availability zone that was drained; `matches` selects its runs. */
type DrainedPlace = {
	readonly name: string;
	readonly signalledAtMs: number;
	readonly matches: (run: LocatedRun) => boolean;
};

/** Entry that was drained; `address` is its address for callers. */
type DrainedEntry = {
	readonly name: string;
	readonly signalledAtMs: number;
	readonly address: string;
};

const requestsPerSecond = 300;
const loadDurationMs = 18_000;
const firstSignalsMs = 4000;
const secondSignalsMs = 5000;
const baselineDurationMs = 4000;
const maximumDelayMs = 3000;
const lookupLifetimeSeconds = 1;
const entryStopGraceMs = 15_000;
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
	name: 'endpoint', signalledAtMs: await addDrain(deployment, 'endpoint', id), matches: run => run.endpoint === id,
});

const drainByReport = async (deployment: Deployment, id: string): Promise<DrainedPlace> => {
	await setFaults(deployment, [endpointOf(deployment, id).availabilityZone], {leaving: true}, id);
	return {name: 'report', signalledAtMs: monotonicClock(), matches: run => run.endpoint === id};
};

const drainByList = async (deployment: Deployment, id: string): Promise<DrainedPlace> => {
	const {host, port, availabilityZone} = endpointOf(deployment, id);
	const registered = await deployment.platform.instances.register({
		id, kind: 'upstream', host, port, availabilityZone, state: 'leaving',
	});
	if (registered.isErr()) {
		throw new Error(`the platform did not register instance ${id}: ${registered.error.detail}`);
	}

	return {name: 'list', signalledAtMs: monotonicClock(), matches: run => run.endpoint === id};
};

const drainZone = async (deployment: Deployment, zone: string): Promise<DrainedPlace> => ({
	name: 'zone', signalledAtMs: await addDrain(deployment, 'availabilityZone', zone), matches: run => run.availabilityZone === zone,
});

const callerAddressOf = ({placement}: EntryProcess): string => `${placement.callers.host}:${placement.callers.port}`;

/** Finds the entry with the highest request rate, so that its drain affects traffic. */
const findBusiestEntry = async (deployment: Deployment, except: readonly EntryProcess[]): Promise<EntryProcess> => {
	const candidates = deployment.entries().filter(entry => !except.includes(entry));
	const rates = await Promise.all(candidates.map(async entry => {
		const state = await entry.state();
		return state?.self.load.requestsPerSecond ?? 0;
	}));
	return candidates[rates.indexOf(Math.max(...rates))]!;
};

const placeFigures = ({name, signalledAtMs, matches}: DrainedPlace, runs: readonly LocatedRun[]): Figures => {
	const matchingRuns = runs.filter(run => matches(run));
	const lastStartMs = Math.max(signalledAtMs, ...matchingRuns.map(run => run.startedAtMs));
	const lastEndMs = Math.max(signalledAtMs, ...matchingRuns.map(run => run.endedAtMs ?? Number.POSITIVE_INFINITY));
	return {
		[`${name}RunsBefore`]: matchingRuns.filter(run => run.startedAtMs <= signalledAtMs).length,
		[`${name}LateRuns`]: matchingRuns.filter(run => run.startedAtMs > signalledAtMs + maximumDelayMs).length,
		[`${name}LastStartSeconds`]: (lastStartMs - signalledAtMs) / millisecondsPerSecond,
		[`${name}DrainSeconds`]: (lastEndMs - signalledAtMs) / millisecondsPerSecond,
	};
};

const entryFigures = ({name, signalledAtMs, address}: DrainedEntry, {records}: LoadResult, loadStartedAtMs: number): Figures => {
	const sent = records.filter(({attempts}) => attempts[0]?.address === address).map(({intendedAtMs}) => intendedAtMs + loadStartedAtMs);
	return {
		[`${name}RequestsBefore`]: sent.filter(atMs => atMs <= signalledAtMs).length,
		[`${name}LateRequests`]: sent.filter(atMs => atMs > signalledAtMs + maximumDelayMs).length,
		[`${name}LastRequestSeconds`]: (Math.max(signalledAtMs, ...sent) - signalledAtMs) / millisecondsPerSecond,
	};
};

/** Kills an entry without a drain and counts the attempts that break or cannot connect. */
const measureKill = async (deployment: Deployment, seed: number): Promise<Figures> => {
	const loading = startLoad(deployment, baselineDurationMs, seed);
	await delay(baselineDurationMs / 2);
	const killed = await findBusiestEntry(deployment, []);
	killed.process.signal('SIGKILL');
	const {records} = await loading;
	const brokenAttempts = records.flatMap(({attempts}) => attempts).filter(({outcome}) => outcome === 'lost' || outcome === 'cut-off');
	const unreachableAttempts = records.flatMap(({attempts}) => attempts).filter(({outcome}) => outcome === 'unreachable');
	return {brokenAttempts: brokenAttempts.length, unreachableAttempts: unreachableAttempts.length};
};

const measure = async (deployment: Deployment, seed: number) => {
	const loadStartedAtMs = monotonicClock();
	const loading = startLoad(deployment, loadDurationMs, seed);
	await delay(firstSignalsMs);
	const drained = await findBusiestEntry(deployment, []);
	const places = [
		await drainByConfiguration(deployment, 'inventory-01'),
		await drainByReport(deployment, 'inventory-02'),
		await drainByList(deployment, 'catalogue-03'),
	];
	const byIntent: DrainedEntry = {name: 'entryDrain', address: callerAddressOf(drained), signalledAtMs: await addDrain(deployment, 'entry', drained.placement.id)};
	await delay(secondSignalsMs);
	places.push(await drainZone(deployment, 'northeast-b'));
	const stopped = await findBusiestEntry(deployment, [drained]);
	const stoppedEntry: DrainedEntry = {name: 'entryStop', address: callerAddressOf(stopped), signalledAtMs: monotonicClock()};
	await deployment.stopEntry(stopped.placement.id, entryStopGraceMs);
	const entryStopSeconds = (monotonicClock() - stoppedEntry.signalledAtMs) / millisecondsPerSecond;
	const result = await loading;
	const runs = await readRuns(deployment);
	const {examples, ...check} = checkGuarantees(result.records, await readLedger(deployment));
	return {
		requests: result.requests,
		...Object.assign({}, ...places.map(place => placeFigures(place, runs))) as Figures,
		...entryFigures(byIntent, result, loadStartedAtMs),
		...entryFigures(stoppedEntry, result, loadStartedAtMs),
		entryStopSeconds,
		...check,
	};
};

/** Measures drains by the configuration, an upstream's load report, the platform's instance list and SIGTERM. */
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
			const runsBeforeProduct = value.endpointRunsBefore! * value.reportRunsBefore! * value.listRunsBefore! * value.zoneRunsBefore!;
			return {
				experiment: 'drain',
				seed,
				baseline,
				value,
				ratio: undefined,
				bound: 'no new work 3 s after the signal; 0 requests cut off',
				ok: late === 0 && broken === 0 && runsBeforeProduct > 0,
			};
		} finally {
			await deployment.stop();
		}
	},
};
