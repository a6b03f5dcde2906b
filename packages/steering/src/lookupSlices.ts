/**
 * Long computations in short slices, so that the event loop stays free.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '@filbertwell/utils/clock';

/** Parameters of a sliced computation. */
export type SliceOptions = {
	readonly clock: Clock;
	/** Longest slice in milliseconds. */
	readonly sliceMs: number;
	/** Ends the computation without a result. */
	readonly signal?: AbortSignal;
};

/**
 * Runs a generator to its end, giving way to other work after each slice.
 *
 * @param work - Yields often, at least once in a fraction of a slice.
 * @param options - Clock and length of a slice.
 * @returns The generator's result; `undefined` if it was aborted.
 */
export const runInSlices = async <Value>(work: Generator<void, Value>, {clock, sliceMs, signal}: SliceOptions): Promise<Value | undefined> => {
	let sliceStart = clock();
	let step = work.next();
	while (!step.done) {
		if (clock() - sliceStart >= sliceMs) {
			await nextTurn(); // eslint-disable-line no-await-in-loop
			sliceStart = clock();
		}

		if (signal?.aborted) {
			return undefined;
		}

		step = work.next();
	}

	return step.value;
};
