/**
 * Latency histogram with quantiles over the last one to two windows, and count and sum since the start.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {build, type Histogram} from 'hdr-histogram-js';

/** Statistics of the values in the last one to two windows. */
export type RecentValues = {
	/** Quantile in milliseconds for a fraction from 0 to 1; NaN if there are no values. */
	readonly quantile: (fraction: number) => number;
	/** Largest value in milliseconds; 0 if there are no values. */
	readonly maximum: number;
};

/** Quantiles of recent values, and totals since the start. */
export type WindowedHistogram = {
	/** Records a value in milliseconds. Negative values and NaN count as 0; values over one hour count as one hour. */
	readonly record: (milliseconds: number) => void;
	/** Returns statistics of the recent values; later values do not change them. */
	readonly recent: () => RecentValues;
	/** Number of values since the start. */
	readonly count: () => number;
	/** Sum of all values since the start, in milliseconds. */
	readonly sum: () => number;
};

const microsecondsPerMillisecond = 1000;
const maximumMicroseconds = 3_600_000_000;
const significantDigits = 2;

const createHistogram = (): Histogram => build({
	lowestDiscernibleValue: 1,
	highestTrackableValue: maximumMicroseconds,
	numberOfSignificantValueDigits: significantDigits,
	autoResize: true,
	bitBucketSize: 32,
	useWebAssembly: false,
});

/** Converts to whole microseconds and clamps them to the histogram's range. */
const toMicroseconds = (milliseconds: number): number => {
	const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
	return microseconds > 0 ? Math.min(microseconds, maximumMicroseconds) : 0;
};

/**
 * Creates an empty histogram.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param windowMs - Length of a window in milliseconds.
 * @returns The histogram.
 */
export const createWindowedHistogram = (clock: Clock, windowMs: number): WindowedHistogram => {
	let current = createHistogram();
	let previous = createHistogram();
	let windowStartedAt = clock();
	let count = 0;
	let sumMicroseconds = 0;

	const rotate = () => {
		const windows = Math.floor((clock() - windowStartedAt) / windowMs);
		if (windows === 0) {
			return;
		}

		windowStartedAt += windows * windowMs;
		[current, previous] = [previous, current];
		current.reset();
		if (windows > 1) {
			previous.reset();
		}
	};

	return {
		record(milliseconds) {
			rotate();
			const microseconds = toMicroseconds(milliseconds);
			current.recordValue(microseconds);
			count += 1;
			sumMicroseconds += microseconds;
		},
		recent() {
			rotate();
			const merged = createHistogram();
			merged.add(current);
			merged.add(previous);
			return {
				quantile: fraction => merged.totalCount === 0 ? Number.NaN : merged.getValueAtPercentile(fraction * 100) / microsecondsPerMillisecond,
				maximum: merged.maxValue / microsecondsPerMillisecond,
			};
		},
		count: () => count,
		sum: () => sumMicroseconds / microsecondsPerMillisecond,
	};
};
