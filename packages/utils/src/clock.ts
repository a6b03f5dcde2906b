/**
 * Monotonic clocks. No decision depends on adjustments of the wall clock.
 */
import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import {createSuspendAwareClock} from './suspendAwareClock.js';

/** Returns monotonic milliseconds since an arbitrary origin. */
export type Clock = () => number;

const millisecondsPerSecond = 1000;

/** Milliseconds since the boot; NaN where the operating system doesn't tell, which counts as no suspension. */
const sinceBoot: Clock = () => {
	try {
		return uptime() * millisecondsPerSecond;
	} catch {
		return Number.NaN;
	}
};

/** The process's monotonic clock, in milliseconds; it also counts the time in which the machine was suspended. */
export const monotonicClock: Clock = createSuspendAwareClock({
	steady: () => performance.now(),
	wall: Date.now,
	sinceBoot,
});

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
