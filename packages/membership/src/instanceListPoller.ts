/**
 * Polls the platform's instance list.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {InstanceList, ListedInstance} from '@filbertwell/platform/instanceList';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import {Subject, type Observable} from 'rxjs';

/** Content of the list at one time. */
export type ListReading = {
	/** Monotonic milliseconds. */
	readonly readAtMs: number;
	readonly instances: readonly ListedInstance[];
};

/** Polls the list and keeps its latest reading. */
export type InstanceListPoller = {
	/** Returns the latest reading; `undefined` before the first successful one. */
	readonly latest: () => ListReading | undefined;
	/** Emits each successful reading. */
	readonly readings: Observable<ListReading>;
	/** Polls until the signal is aborted. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Instance list and polling interval. */
export type InstanceListPollerOptions = {
	readonly instances: InstanceList;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Shortest time between two readings, in milliseconds. */
	readonly minimumIntervalMs: number;
	/** Added to the interval for each member beyond a small deployment, so that the load on the platform and the bytes read stay bounded. */
	readonly intervalPerMemberMs: number;
	/** Delay of the first reading, in milliseconds. */
	readonly firstDelayMs: number;
	/** Returns the current number of members. */
	readonly members: () => number;
};

const jitter = 0.1;
/** Number of members up to which each process reads the list at the shortest interval. */
const smallDeploymentMembers = 16;

/**
 * Creates a poller.
 *
 * @param options - The list, and how often to read it.
 * @returns The poller; it starts to poll when `run` is called.
 */
export const createInstanceListPoller = (options: InstanceListPollerOptions): InstanceListPoller => {
	const {instances, clock, random, log, minimumIntervalMs, intervalPerMemberMs, firstDelayMs, members} = options;
	const readings = new Subject<ListReading>();
	let latest: ListReading | undefined;

	const read = async () => {
		const listed = await instances.list();
		if (listed.isErr()) {
			log(membershipEvents.listUnavailable, {reason: listed.error.detail});
			return;
		}

		latest = {readAtMs: clock(), instances: listed.value};
		readings.next(latest);
	};

	const intervalMs = (): number => minimumIntervalMs + (Math.max(members() - smallDeploymentMembers, 0) * intervalPerMemberMs);

	/** Waits for the interval, which grows while members are discovered. */
	const waitForInterval = async (signal: AbortSignal): Promise<boolean> => {
		const jitterFactor = 1 + (jitter * ((2 * random()) - 1));
		const startedAtMs = clock();
		for (;;) {
			const remainingMs = (intervalMs() * jitterFactor) - (clock() - startedAtMs);
			if (remainingMs <= 0) {
				return !signal.aborted;
			}

			// eslint-disable-next-line no-await-in-loop
			if (!await waitUnlessAborted(remainingMs, signal)) {
				return false;
			}
		}
	};

	return {
		latest: () => latest,
		readings,
		async run(signal) {
			let shouldContinue = firstDelayMs === 0 ? !signal.aborted : await waitUnlessAborted(firstDelayMs, signal);
			while (shouldContinue) {
				await read(); // eslint-disable-line no-await-in-loop
				shouldContinue = await waitForInterval(signal); // eslint-disable-line no-await-in-loop
			}

			readings.complete();
		},
	};
};
