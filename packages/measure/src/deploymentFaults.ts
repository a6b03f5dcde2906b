/**
 * Injects random faults into a complete deployment, repeatable by seed: faults of the table service
 * and of upstreams, and entries that are paused, or killed or stopped and replaced.
 */
import type {EntryProcess} from '@filbertwell/harness/entryProcess';
import {requestJson} from '@filbertwell/harness/httpJson';
import type {Deployment} from '@filbertwell/harness/startDeployment';
import type {Fault} from '@filbertwell/platform/faultPlan';
import type {Random} from '@filbertwell/utils/random';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';

/** Numbers of injected faults by kind. */
export type FaultCounts = {
	readonly killed: number;
	readonly paused: number;
	readonly stopped: number;
	readonly storeFaults: number;
};

/** Target and extent of the faults. */
export type DeploymentFaultOptions = {
	readonly deployment: Deployment;
	readonly random: Random;
	readonly signal: AbortSignal;
	/** Called after an entry has been replaced. */
	readonly onEntriesChanged: () => void;
	readonly upstreamFaults: Readonly<Record<string, number>>;
	/** Ids of entries that are never killed or stopped, so that their memory can be sampled; they may be paused. */
	readonly protectedEntryIds: ReadonlySet<string>;
};

/** Faults of the table service, of which one is active at a time; `undefined` stands for none. */
const storeFaults: ReadonlyArray<Fault | undefined> = [
	undefined,
	undefined,
	{target: 'table', kind: 'lostReply', probability: 0.3},
	{target: 'table', kind: 'error', probability: 0.3},
	{target: 'table', kind: 'delay', delayMs: 300},
	{target: 'table', kind: 'down'},
	{target: 'table', kind: 'pause', probability: 0.3},
	{
		target: 'table', kind: 'lostReply', access: 'write', probability: 1,
	},
];
const storeFaultIntervalMs = 1200;
const entryFaultIntervalMs = 2000;
const shortestPauseMs = 1000;
const pauseRangeMs = 5000;
const stopGraceMs = 15_000;
/** No entry is paused or replaced while only this many entries serve. */
const minimumServingEntries = 4;

const pick = <Item>(items: readonly Item[], random: Random): Item => items[Math.floor(random() * items.length)]!;

/**
 * Injects faults until the signal is aborted, then resumes paused entries and clears all other faults.
 *
 * @param options - Deployment, random numbers and the signal that ends the faults.
 * @returns Numbers of injected faults.
 */
export const runDeploymentFaults = async ({deployment, random, signal, onEntriesChanged, upstreamFaults, protectedEntryIds}: DeploymentFaultOptions): Promise<FaultCounts> => {
	const {host, port} = deployment.platformAddress;
	const unavailableEntries = new Set<EntryProcess>();
	const counts = {
		killed: 0, paused: 0, stopped: 0, storeFaults: 0,
	};

	const setStoreFault = async (fault: Fault | undefined): Promise<void> => {
		counts.storeFaults += fault === undefined ? 0 : 1;
		await requestJson('POST', `http://${host}:${port}/faults`, {faults: fault === undefined ? [] : [fault], seed: Math.floor(random() * 1_000_000)});
	};

	const listAvailableEntries = (): EntryProcess[] => deployment.entries().filter(entry => !unavailableEntries.has(entry));

	const pauseEntry = async (entry: EntryProcess): Promise<void> => {
		counts.paused += 1;
		unavailableEntries.add(entry);
		entry.process.signal('SIGSTOP');
		await waitUnlessAborted(shortestPauseMs + (random() * pauseRangeMs), signal);
		entry.process.signal('SIGCONT');
		unavailableEntries.delete(entry);
	};

	const replace = async (entry: EntryProcess, how: 'kill' | 'stop'): Promise<void> => {
		unavailableEntries.add(entry);
		if (how === 'kill') {
			counts.killed += 1;
			entry.process.signal('SIGKILL');
			await entry.process.exited;
		} else {
			counts.stopped += 1;
			await deployment.stopEntry(entry.placement.id, stopGraceMs);
		}

		unavailableEntries.delete(entry);
		await deployment.replaceEntry(entry.placement.id);
		onEntriesChanged();
	};

	const injectStoreFaults = async (): Promise<void> => {
		while (await waitUnlessAborted(storeFaultIntervalMs * (0.5 + random()), signal)) { // eslint-disable-line no-await-in-loop -- one fault after another
			await setStoreFault(pick(storeFaults, random)); // eslint-disable-line no-await-in-loop -- one fault after another
		}
	};

	const injectEntryFaults = async (): Promise<void> => {
		const running: Array<Promise<void>> = [];
		while (await waitUnlessAborted(entryFaultIntervalMs * (0.5 + random()), signal)) { // eslint-disable-line no-await-in-loop -- one fault after another
			const candidates = listAvailableEntries();
			if (candidates.length <= minimumServingEntries) {
				continue;
			}

			const entry = pick(candidates, random);
			const draw = random();
			if (protectedEntryIds.has(entry.placement.id)) {
				running.push(pauseEntry(entry));
			} else if (draw < 0.4) {
				running.push(replace(entry, 'kill'));
			} else {
				running.push(draw < 0.8 ? pauseEntry(entry) : replace(entry, 'stop'));
			}
		}

		await Promise.all(running);
	};

	const setUpstreamFaults = async (faults: Readonly<Record<string, number>>): Promise<void> => {
		await Promise.all(deployment.upstreams.map(async ({control}) => requestJson('POST', `http://${control.host}:${control.port}/faults`, {faults})));
	};

	await setUpstreamFaults(upstreamFaults);
	await Promise.all([injectStoreFaults(), injectEntryFaults()]);
	await setStoreFault(undefined);
	await setUpstreamFaults(Object.fromEntries(Object.keys(upstreamFaults).map(name => [name, 0])));
	return counts;
};
