/**
 * Estimates how often a key is warm at an endpoint, from how long its requests take. The requests of other instances
 * also warm and evict keys, so an instance can't know it from its own requests.
 */

/** Observed fraction of requests whose key was warm. */
export type WarmthEstimate = {
	/** Probability that a key is warm, from 0 to 1. */
	readonly probability: () => number;
	/** Records the processing time of a request, with the times expected for a warm and a cold key, all in milliseconds. */
	readonly record: (processingMs: number, warmMs: number, coldMs: number) => void;
};

const sampleWeight = 0.05;

/**
 * Creates an estimate without samples.
 *
 * @param initialProbability - Probability before the first sample.
 * @returns The estimate.
 */
export const createWarmthEstimate = (initialProbability: number): WarmthEstimate => {
	let probability = initialProbability;
	return {
		probability: () => probability,
		record(processingMs, warmMs, coldMs) {
			// The geometric mean separates the two, because processing times vary by a factor.
			const isWarm = processingMs < Math.sqrt(warmMs * coldMs);
			probability += sampleWeight * ((isWarm ? 1 : 0) - probability);
		},
	};
};
