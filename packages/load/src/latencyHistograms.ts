/**
 * Set of named latency histograms.
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Summary of a latency histogram. */
export type LatencyFigures = {
	readonly count: number;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maximumMs: number;
};

/** A set of named latency histograms. */
export type LatencyHistograms = {
	/** Records a latency; values below 1 µs and above 600 s are recorded as these limits. */
	readonly record: (name: string, milliseconds: number) => void;
	/** Returns the summary of each histogram by name. */
	readonly summarize: () => Readonly<Record<string, LatencyFigures>>;
};

const microsecondsPerMillisecond = 1000;
const maximumMicroseconds = 600_000_000;

const summarizeHistogram = (histogram: Histogram): LatencyFigures => {
	const percentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		count: histogram.totalCount,
		p50Ms: percentileMs(50),
		p95Ms: percentileMs(95),
		p99Ms: percentileMs(99),
		maximumMs: histogram.maxValue / microsecondsPerMillisecond,
	};
};

/**
 * Creates an empty set of latency histograms. A histogram is added when its first value is recorded.
 *
 * @returns The set.
 */
export const createLatencyHistograms = (): LatencyHistograms => {
	const histograms = new Map<string, Histogram>();
	return {
		record(name, milliseconds) {
			const histogram = histograms.get(name) ?? build({highestTrackableValue: maximumMicroseconds, numberOfSignificantValueDigits: 3});
			histograms.set(name, histogram);
			histogram.recordValue(Math.min(maximumMicroseconds, Math.max(1, Math.round(milliseconds * microsecondsPerMillisecond))));
		},
		summarize: () => Object.fromEntries([...histograms].map(([name, histogram]) => [name, summarizeHistogram(histogram)])),
	};
};
