/**
 * Keeps long work from holding the event loop, and bounds how much of it runs at once.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '@filbertwell/utils/clock';

/** Lets other work run if this work has had the event loop for its share of time. */
export type Pace = () => Promise<void>;

const maximumTurnMs = 2;

/**
 * Creates a pace for work in many small steps.
 *
 * @param clock - Monotonic milliseconds.
 * @returns To be awaited between steps.
 */
export const createPace = (clock: Clock): Pace => {
	let turnStartedAt = clock();
	let yielding: Promise<void> | undefined;
	const yieldTurn = async () => {
		await nextTurn();
		turnStartedAt = clock();
		yielding = undefined;
	};

	return async () => {
		// Tasks that share a pace share its turns, or else each would have a whole share of time.
		while (clock() - turnStartedAt >= maximumTurnMs) {
			yielding ??= yieldTurn();
			await yielding; // eslint-disable-line no-await-in-loop
		}
	};
};

/**
 * Runs a task for each item, some at a time. After a task has failed no further one starts.
 *
 * @param items - The items.
 * @param concurrency - Tasks at a time.
 * @param task - Returns whether to go on.
 * @returns Whether all tasks ran and said to go on.
 */
export const forEachBounded = async <Item>(items: readonly Item[], concurrency: number, task: (item: Item, index: number) => Promise<boolean>): Promise<boolean> => {
	let next = 0;
	let goOn = true;
	const work = async () => {
		while (goOn && next < items.length) {
			const index = next;
			next += 1;
			const more = await task(items[index]!, index); // eslint-disable-line no-await-in-loop
			goOn &&= more;
		}
	};

	await Promise.all(Array.from({length: Math.min(concurrency, items.length)}, work));
	return goOn;
};
