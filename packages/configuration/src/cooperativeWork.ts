/**
 * Keeps long-running work from blocking the event loop, and limits how many of its tasks run at once.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '@filbertwell/utils/clock';

/** Resolves immediately while the time slice lasts; after that, once the event loop has run other work. */
export type YieldIfDue = () => Promise<void>;

const timeSliceMs = 2;

/**
 * Creates the function by which work in many small steps yields to the event loop after each time slice.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns A function to await between two steps; all tasks of the work share it.
 */
export const createYieldIfDue = (clock: Clock): YieldIfDue => {
	let turnStartedAt = clock();
	let yielding: Promise<void> | undefined;
	const yieldTurn = async () => {
		await nextTurn();
		turnStartedAt = clock();
		yielding = undefined;
	};

	return async () => {
		// All tasks wait for the same turn; otherwise each task would get a full time slice of its own.
		while (clock() - turnStartedAt >= timeSliceMs) {
			yielding ??= yieldTurn();
			await yielding; // eslint-disable-line no-await-in-loop
		}
	};
};

/**
 * Runs a task for each item with limited concurrency. No further task starts after one returned `false`.
 *
 * @param items - The items.
 * @param concurrency - Maximum number of tasks that run at once.
 * @param task - Returns whether to continue.
 * @returns Whether every task ran and returned `true`.
 */
export const forEachConcurrently = async <Item>(items: readonly Item[], concurrency: number, task: (item: Item, index: number) => Promise<boolean>): Promise<boolean> => {
	let next = 0;
	let shouldContinue = true;
	const runWorker = async () => {
		while (shouldContinue && next < items.length) {
			const index = next;
			next += 1;
			const taskContinues = await task(items[index]!, index); // eslint-disable-line no-await-in-loop
			shouldContinue &&= taskContinues;
		}
	};

	await Promise.all(Array.from({length: Math.min(concurrency, items.length)}, runWorker));
	return shouldContinue;
};
