/**
 * Measures how long a piece of work blocks the event loop.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {monotonicClock} from '@filbertwell/utils/clock';

/** Result of some work, with its duration and the longest pause of the event loop meanwhile. */
export type MeasuredWork<Value> = {
	readonly value: Value;
	readonly worstPauseMs: number;
	readonly durationMs: number;
};

/**
 * Runs work and measures the time between turns of the event loop meanwhile.
 *
 * @param work - The work to run.
 * @returns The value of the work, the longest time between two turns and the duration of the work.
 */
export const measurePause = async <Value>(work: () => Promise<Value>): Promise<MeasuredWork<Value>> => {
	const finished = new AbortController();
	let worstPauseMs = 0;
	const recordPauses = async () => {
		let lastTurnAt = monotonicClock();
		while (!finished.signal.aborted) {
			await nextTurn(); // eslint-disable-line no-await-in-loop
			const now = monotonicClock();
			worstPauseMs = Math.max(worstPauseMs, now - lastTurnAt);
			lastTurnAt = now;
		}
	};

	const startedAt = monotonicClock();
	const recording = recordPauses();
	const value = await work();
	finished.abort();
	await recording;
	return {value, worstPauseMs, durationMs: monotonicClock() - startedAt};
};
