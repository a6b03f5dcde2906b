/**
 * Monotonic clocks. No decision depends on the wall clock.
 */
import {performance} from 'node:perf_hooks';

/** Returns monotonic milliseconds since an arbitrary origin. */
export type Clock = () => number;

/** The process's monotonic clock, in milliseconds. */
export const monotonicClock: Clock = () => performance.now();

/** Clock that tests advance explicitly. */
export type ManualClock = {
	readonly now: Clock;
	/** Moves the clock forward by the given number of milliseconds. */
	readonly advance: (milliseconds: number) => void;
};

/**
 * Creates a clock that moves only when `advance` is called.
 *
 * @param startMs - First reading in milliseconds.
 * @returns The clock and the function that advances it.
 */
export const createManualClock = (startMs = 0): ManualClock => {
	let current = startMs;
	return {
		now: () => current,
		advance(milliseconds) {
			current += milliseconds;
		},
	};
};
