/**
 * Random faults on a whole deployment, repeatable by seed: the table service, upstreams, and
 * entries that are killed and replaced or paused.
 */
import type {EntryProcess} from '@filbertwell/harness/entryProcess';
import {requestJson} from '@filbertwell/harness/httpJson';
import type {Deployment} from '@filbertwell/harness/startDeployment';
import type {Fault} from '@filbertwell/platform/faultPlan';
import type {Random} from '@filbertwell/utils/random';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';

/** Counts of the faults that were set. */
export type FaultCounts = {
	readonly killed: number;
	readonly paused: number;
	readonly stopped: number;
	readonly storeFaults: number;
};

/** Parameters of the faults. */
export type DeploymentFaultOptions = {
	readonly deployment: Deployment;
	readonly random: Random;
	readonly signal: AbortSignal;
	/** Called whenever entries have come or gone. */
	readonly onEntries: () => void;
	readonly upstreamFaults: Readonly<Record<string, number>>;
	/** Entries that are neither killed nor stopped, so that their memory can be followed; they may be paused. */
	readonly spared: ReadonlySet<string>;
};

/** Faults of the table service, one at a time; `undefined` for none. */
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
const storeFaultMs = 1200;
const entryFaultMs = 2000;
const shortestPauseMs = 1000;
const pauseSpanMs = 5000;
const stopGraceMs = 15_000;
/** At least so many entries serve at any time. */
const minimumServing = 4;

const pick = <Item>(items: readonly Item[], random: Random): Item => items[Math.floor(random() * items.length)]!;

/**
 * Sets faults until the signal is aborted, then clears them all and resumes paused entries.
 *
 * @param options - Deployment, random numbers and the end.
 * @returns How many faults there were.
 */
export const runDeploymentFaults = async ({deployment, random, signal, onEntries, upstreamFaults, spared}: DeploymentFaultOptions): Promise<FaultCounts> => {
	const {host, port} = deployment.platformAddress;
	const paused = new Set<EntryProcess>();
	const counts = {
		killed: 0, paused: 0, stopped: 0, storeFaults: 0,
	};

	const setStoreFault = async (fault: Fault | undefined): Promise<void> => {
		counts.storeFaults += fault === undefined ? 0 : 1;
		await requestJson('POST', `http://${host}:${port}/faults`, {faults: fault === undefined ? [] : [fault], seed: Math.floor(random() * 1_000_000)});
	};

	const serving = (): EntryProcess[] => deployment.entries().filter(entry => !paused.has(entry));

	const pauseEntry = async (entry: EntryProcess): Promise<void> => {
		counts.paused += 1;
		paused.add(entry);
		entry.process.signal('SIGSTOP');
		await waitUnlessAborted(shortestPauseMs + (random() * pauseSpanMs), signal);
		entry.process.signal('SIGCONT');
		paused.delete(entry);
	};

	const replace = async (entry: EntryProcess, how: 'kill' | 'stop'): Promise<void> => {
		paused.add(entry);
		if (how === 'kill') {
			counts.killed += 1;
			entry.process.signal('SIGKILL');
			await entry.process.exited;
		} else {
			counts.stopped += 1;
			await deployment.stopEntry(entry.placement.id, stopGraceMs);
		}

		paused.delete(entry);
		await deployment.replaceEntry(entry.placement.id);
		onEntries();
	};

	const strikeStore = async (): Promise<void> => {
		while (await waitUnlessAborted(storeFaultMs * (0.5 + random()), signal)) { // eslint-disable-line no-await-in-loop -- one fault after another
			await setStoreFault(pick(storeFaults, random)); // eslint-disable-line no-await-in-loop -- one fault after another
		}
	};

	const strikeEntries = async (): Promise<void> => {
		const running: Array<Promise<void>> = [];
		while (await waitUnlessAborted(entryFaultMs * (0.5 + random()), signal)) { // eslint-disable-line no-await-in-loop -- one fault after another
			const candidates = serving();
			if (candidates.length <= minimumServing) {
				continue;
			}

			const entry = pick(candidates, random);
			const draw = random();
			if (spared.has(entry.placement.id)) {
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
	await Promise.all([strikeStore(), strikeEntries()]);
	await setStoreFault(undefined);
	await setUpstreamFaults(Object.fromEntries(Object.keys(upstreamFaults).map(name => [name, 0])));
	return counts;
};
