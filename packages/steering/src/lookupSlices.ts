/**
 * Runs long computations in short time slices, so that they do not block the event loop.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '@filbertwell/utils/clock';

/** Time source, slice length and cancellation of a computation. */
export type SliceOptions = {
	readonly clock: Clock;
	/** Time after which a slice ends, in milliseconds. */
	readonly sliceMs: number;
	/** Cancels the computation. */
	readonly signal?: AbortSignal;
};

/**
 * Runs a generator to its end and yields to the event loop after each slice.
 *
 * @param work - Generator that must yield several times per slice, because a slice ends only at a `yield`.
 * @param options - Clock, slice length and abort signal.
 * @returns The generator's result; `undefined` if the signal aborted it.
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
