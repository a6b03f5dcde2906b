/**
 * Repeated work with jitter that ends when its signal is aborted.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from './random.js';

/** Parameters of a periodic task. */
export type PeriodicOptions = {
	readonly intervalMs: number;
	/** Fraction of the interval by which each wait varies, from 0 to 1. */
	readonly jitter: number;
	readonly random: Random;
	readonly signal: AbortSignal;
	readonly task: () => Promise<void> | void;
};

/**
 * Waits, unless the signal is aborted first.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait early.
 * @returns Whether the whole time passed.
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
 * Runs a task, waits, and repeats until the signal is aborted. Runs never overlap.
 *
 * @param options - Interval, jitter and task. The task must not throw.
 */
export const runPeriodically = async ({intervalMs, jitter, random, signal, task}: PeriodicOptions): Promise<void> => {
	let goOn = !signal.aborted;
	while (goOn) {
		await task(); // eslint-disable-line no-await-in-loop
		const waitMs = intervalMs * (1 + (jitter * ((2 * random()) - 1)));
		goOn = await waitUnlessAborted(waitMs, signal); // eslint-disable-line no-await-in-loop
	}
};
