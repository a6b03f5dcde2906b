/**
 * Measures how long the event loop is kept from other work.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {monotonicClock} from '@filbertwell/utils/clock';

/** Result of some work with the pauses that it caused. */
export type PausedWork<Value> = {
	readonly value: Value;
	readonly worstPauseMs: number;
	readonly durationMs: number;
};

/**
 * Runs work and watches the turns of the event loop meanwhile.
 *
 * @param work - The work.
 * @returns Its value and the longest time between two turns.
 */
export const measurePause = async <Value>(work: () => Promise<Value>): Promise<PausedWork<Value>> => {
	const finished = new AbortController();
	let worstPauseMs = 0;
	const watch = async () => {
		let turnAt = monotonicClock();
		while (!finished.signal.aborted) {
			await nextTurn(); // eslint-disable-line no-await-in-loop
			const now = monotonicClock();
			worstPauseMs = Math.max(worstPauseMs, now - turnAt);
			turnAt = now;
		}
	};

	const startedAt = monotonicClock();
	const watching = watch();
	const value = await work();
	finished.abort();
	await watching;
	return {value, worstPauseMs, durationMs: monotonicClock() - startedAt};
};
