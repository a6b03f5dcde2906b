/**
 * Reads the platform's instance list now and then.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {InstanceList, ListedInstance} from '@filbertwell/platform/instanceList';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import {Subject, type Observable} from 'rxjs';

/** A reading of the list. */
export type ListReading = {
	readonly readAtMs: number;
	readonly instances: readonly ListedInstance[];
};

/** The latest reading of the list. */
export type InstanceListWatch = {
	readonly latest: () => ListReading | undefined;
	readonly readings: Observable<ListReading>;
	/** Reads until the signal is aborted. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Parameters of the watch. */
export type InstanceListWatchOptions = {
	readonly instances: InstanceList;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Shortest time between two readings, in milliseconds. */
	readonly minimumIntervalMs: number;
	/** Added for each member beyond a small deployment, so that the platform's load and the bytes stay bounded. */
	readonly intervalPerMemberMs: number;
	readonly members: () => number;
};

const jitter = 0.1;
/** Members up to which each process reads the list at the shortest interval. */
const smallDeploymentMembers = 16;

/**
 * Creates the watch.
 *
 * @param options - The list, and how often to read it.
 * @returns The watch; it reads once it runs.
 */
export const createInstanceListWatch = (options: InstanceListWatchOptions): InstanceListWatch => {
	const {instances, clock, random, log, minimumIntervalMs, intervalPerMemberMs, members} = options;
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

	const intervalMs = (): number => {
		const steadyMs = minimumIntervalMs + (Math.max(members() - smallDeploymentMembers, 0) * intervalPerMemberMs);
		return steadyMs * (1 + (jitter * ((2 * random()) - 1)));
	};

	return {
		latest: () => latest,
		readings,
		async run(signal) {
			let goOn = !signal.aborted;
			while (goOn) {
				await read(); // eslint-disable-line no-await-in-loop
				goOn = await waitUnlessAborted(intervalMs(), signal); // eslint-disable-line no-await-in-loop
			}

			readings.complete();
		},
	};
};
