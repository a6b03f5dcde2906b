/**
 * Counts events in a sliding time window that is divided into 20 buckets.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Counter of the events in a sliding window. */
export type SlidingWindowCounter = {
	readonly record: () => void;
	/** Number of events in the window. The oldest bucket counts in full, so the count may cover up to 1/20 more than the window. */
	readonly count: () => number;
};

const bucketsPerWindow = 20;

/**
 * Creates a counter without events.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param windowMs - Length of the window in milliseconds.
 * @returns The counter.
 */
export const createSlidingWindowCounter = (clock: Clock, windowMs: number): SlidingWindowCounter => {
	const bucketMs = windowMs / bucketsPerWindow;
	/** The window and one more bucket, because the oldest bucket counts in full. */
	const buckets = Array.from({length: bucketsPerWindow + 1}, () => 0);
	let currentBucket = Math.floor(clock() / bucketMs);
	let total = 0;

	const advance = () => {
		const latestBucket = Math.floor(clock() / bucketMs);
		const passed = Math.min(latestBucket - currentBucket, buckets.length);
		for (let index = 1; index <= passed; index++) {
			const bucket = (currentBucket + index) % buckets.length;
			total -= buckets[bucket]!;
			buckets[bucket] = 0;
		}

		currentBucket = latestBucket;
	};

	return {
		record() {
			advance();
			buckets[currentBucket % buckets.length]! += 1;
			total += 1;
		},
		count() {
			advance();
			return total;
		},
	};
};
