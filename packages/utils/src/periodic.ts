/**
 * Runs periodic tasks with jitter until a signal is aborted.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from './random.js';

/** A task with its interval and jitter. */
export type PeriodicOptions = {
	readonly intervalMs: number;
	/** Maximum deviation of each wait, as a fraction of the interval from 0 to 1. */
	readonly jitter: number;
	readonly random: Random;
	readonly signal: AbortSignal;
	/** Must not throw or reject. */
	readonly task: () => Promise<void> | void;
};

/**
 * Waits for some time or until the signal is aborted.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait early when aborted.
 * @returns `true` if the whole time has passed, `false` if the signal was aborted first.
 */
export const waitUnlessAborted = async (milliseconds: number, signal: AbortSignal): Promise<boolean> => {
	try {
		await delay(milliseconds, undefined, {signal});
		return true;
	} catch {
		return false;
	}
};

/**
 * Runs a task at once and then after each interval until the signal is aborted. Runs do not
 * overlap: the interval starts when a run ends.
 *
 * @param options - Task, interval, jitter and abort signal.
 */
export const runPeriodically = async ({intervalMs, jitter, random, signal, task}: PeriodicOptions): Promise<void> => {
	let shouldContinue = !signal.aborted;
	while (shouldContinue) {
		await task(); // eslint-disable-line no-await-in-loop
		const waitMs = intervalMs * (1 + (jitter * ((2 * random()) - 1)));
		shouldContinue = await waitUnlessAborted(waitMs, signal); // eslint-disable-line no-await-in-loop
	}
};
