/**
 * Latency histograms by name.
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Summary of one histogram. */
export type LatencyFigures = {
	readonly count: number;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maximumMs: number;
};

/** Histograms by name. */
export type Latencies = {
	readonly record: (name: string, milliseconds: number) => void;
	readonly figures: () => Readonly<Record<string, LatencyFigures>>;
};

const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 600_000_000;

const toFigures = (histogram: Histogram): LatencyFigures => {
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
 * Creates empty histograms.
 *
 * @returns The histograms.
 */
export const createLatencies = (): Latencies => {
	const histograms = new Map<string, Histogram>();
	return {
		record(name, milliseconds) {
			const histogram = histograms.get(name) ?? build({highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3});
			histograms.set(name, histogram);
			histogram.recordValue(Math.min(highestMicroseconds, Math.max(1, Math.round(milliseconds * microsecondsPerMillisecond))));
		},
		figures: () => Object.fromEntries([...histograms].map(([name, histogram]) => [name, toFigures(histogram)])),
	};
};
