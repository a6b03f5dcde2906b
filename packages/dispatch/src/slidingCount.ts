/**
 * Counts events in a sliding window of time, in steps of a twentieth of the window.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Events in the last window. */
export type SlidingCount = {
	readonly record: () => void;
	/** Events in the last window, the oldest step in full. */
	readonly count: () => number;
};

const steps = 20;

/**
 * Creates an empty count.
 *
 * @param clock - Monotonic milliseconds.
 * @param windowMs - Length of the window in milliseconds.
 * @returns The count.
 */
export const createSlidingCount = (clock: Clock, windowMs: number): SlidingCount => {
	const stepMs = windowMs / steps;
	/** One step more than the window, as the oldest counts in full. */
	const counts = Array.from({length: steps + 1}, () => 0);
	let current = Math.floor(clock() / stepMs);
	let total = 0;

	const advance = () => {
		const step = Math.floor(clock() / stepMs);
		const passed = Math.min(step - current, counts.length);
		for (let index = 1; index <= passed; index++) {
			const slot = (current + index) % counts.length;
			total -= counts[slot]!;
			counts[slot] = 0;
		}

		current = step;
	};

	return {
		record() {
			advance();
			counts[current % counts.length]! += 1;
			total += 1;
		},
		count() {
			advance();
			return total;
		},
	};
};
