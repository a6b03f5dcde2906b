/**
 * Experiment `config-follow`: 50 changes on 8 entry processes. Some changes are followed by an outage
 * of the platform that starts right after the acceptance, some by an entry that is killed and
 * replaced. The baseline is a change whose outage starts before any entry polls it and that is not
 * offered to the entries.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {createOffer} from '@filbertwell/configuration/offer';
import type {EntryProcess} from '@filbertwell/harness/entryProcess';
import {requestJson} from '@filbertwell/harness/httpJson';
import {startDeployment, type Deployment} from '@filbertwell/harness/startDeployment';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom, type Random} from '@filbertwell/utils/random';
import type {Experiment} from '../experiment.js';

const changes = 50;
const outageChanges = new Set([15, 35]);
const changesPerReplacement = 10;
const maximumSeconds = 9;
const waitTimeoutMs = 30_000;
const sampleIntervalMs = 50;
const baselineOutageMs = 12_000;
const millisecondsPerSecond = 1000;
const outageFaults = ['table', 'objects', 'instances'].map(target => ({target, kind: 'down'}));

/** Tracks the highest version observed at each entry and counts the observations of a lower one. */
const createVersionMonitor = () => {
	const highest = new Map<string, number>();
	let reverts = 0;
	return {
		/** Sets the lowest version that a new process is allowed to have in force. */
		expectAtLeast(id: string, version: number) {
			highest.set(id, version);
		},
		async sample(entries: readonly EntryProcess[]): Promise<number> {
			const versions = await Promise.all(entries.map(async entry => {
				const state = await entry.state();
				const version = state?.configuration?.version ?? 0;
				const {id} = entry.placement;
				if (version > 0 && version < (highest.get(id) ?? 0)) {
					reverts += 1;
				}

				highest.set(id, Math.max(version, highest.get(id) ?? 0));
				return version;
			}));
			return Math.min(...versions);
		},
		reverts: () => reverts,
	};
};

type VersionMonitor = ReturnType<typeof createVersionMonitor>;

const setOutage = async ({platformAddress: {host, port}}: Deployment, isDown: boolean): Promise<void> => {
	const url = `http://${host}:${port}/faults`;
	await (isDown ? requestJson('POST', url, {faults: outageFaults}) : requestJson('DELETE', url));
};

const accept = async (deployment: Deployment, version: number) => {
	const intent = deployment.intent();
	const result = await acceptConfiguration({
		platform: deployment.platform,
		intent: {...intent, lookups: {...intent.lookups, lifetimeSeconds: intent.lookups.lifetimeSeconds + (version % 2)}},
		expectedVersion: version - 1,
		changeId: randomUUID(),
		author: 'ana',
		acceptedAt: '',
	});
	if (result.isErr()) {
		throw new Error(`version ${version} was not accepted: ${result.error.detail}`);
	}

	return result.value;
};

const waitInForce = async (deployment: Deployment, monitor: VersionMonitor, version: number, startedAt: number): Promise<number> => {
	while (monotonicClock() - startedAt < waitTimeoutMs) {
		const lowest = await monitor.sample(deployment.entries()); // eslint-disable-line no-await-in-loop
		if (lowest >= version) {
			break;
		}

		await delay(sampleIntervalMs); // eslint-disable-line no-await-in-loop
	}

	return (monotonicClock() - startedAt) / millisecondsPerSecond;
};

/** Submits a version and returns the seconds from its acceptance until it is in force at all running entries. */
const applyChange = async (deployment: Deployment, monitor: VersionMonitor, version: number): Promise<number> => {
	const acceptance = await accept(deployment, version);
	const startedAt = monotonicClock();
	const hasOutage = outageChanges.has(version);
	await (hasOutage ? setOutage(deployment, true) : undefined);
	const offer = createOffer(acceptance);
	await Promise.all(deployment.entries().map(async ({placement: {admin}}) => requestJson('POST', `http://${admin.host}:${admin.port}/configuration/offer`, offer)));
	return waitInForce(deployment, monitor, version, startedAt);
};

/** Kills an entry, starts a replacement and returns the seconds until the version is in force at all running entries. */
const replaceEntry = async (deployment: Deployment, monitor: VersionMonitor, version: number, random: Random): Promise<number> => {
	const entries = deployment.entries();
	const killedEntry = entries[Math.floor(random() * entries.length)]!;
	killedEntry.process.signal('SIGKILL');
	await killedEntry.process.exited;
	const startedAt = monotonicClock();
	const replacement = await deployment.replaceEntry(killedEntry.placement.id);
	monitor.expectAtLeast(replacement.placement.id, version);
	return waitInForce(deployment, monitor, version, startedAt);
};

const measureBaseline = async (deployment: Deployment, monitor: VersionMonitor, version: number): Promise<number> => {
	await accept(deployment, version);
	const startedAt = monotonicClock();
	await setOutage(deployment, true);
	const seconds = waitInForce(deployment, monitor, version, startedAt);
	await delay(baselineOutageMs);
	await setOutage(deployment, false);
	return seconds;
};

/** Measures the time until changes are in force at all entries. */
export const experiment: Experiment = {
	name: 'config-follow',
	description: '8 entries, 50 changes, outages right after acceptance, entries replaced: seconds until in force everywhere',
	async run({seed}) {
		const random = createRandom(seed);
		const deployment = await startDeployment({seed, entries: 8});
		const monitor = createVersionMonitor();
		const seconds: number[] = [];
		const replacementSeconds: number[] = [];
		try {
			for (let version = 2; version <= changes + 1; version += 1) {
				// Changes must not overlap.
				seconds.push(await applyChange(deployment, monitor, version)); // eslint-disable-line no-await-in-loop
				if (version % changesPerReplacement === 0 || outageChanges.has(version)) {
					replacementSeconds.push(await replaceEntry(deployment, monitor, version, random)); // eslint-disable-line no-await-in-loop
				}

				await setOutage(deployment, false); // eslint-disable-line no-await-in-loop
			}

			const baselineSeconds = await measureBaseline(deployment, monitor, changes + 2);
			const worstSeconds = Math.max(...seconds);
			const reverts = monitor.reverts();
			return {
				experiment: 'config-follow',
				seed,
				baseline: {outageSeconds: baselineOutageMs / millisecondsPerSecond, inForceSeconds: baselineSeconds},
				value: {
					changes: seconds.length,
					outages: outageChanges.size,
					replacements: replacementSeconds.length,
					medianSeconds: seconds.toSorted((a, b) => a - b)[Math.floor(seconds.length / 2)]!,
					worstSeconds,
					worstReplacementSeconds: Math.max(...replacementSeconds),
					reverts,
				},
				ratio: worstSeconds / baselineSeconds,
				bound: `in force everywhere within ${maximumSeconds} s, worst case; no reverts, restarts included`,
				ok: worstSeconds <= maximumSeconds && Math.max(...replacementSeconds) <= maximumSeconds && reverts === 0,
			};
		} finally {
			await deployment.stop();
		}
	},
};
