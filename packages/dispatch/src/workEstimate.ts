/**
 * How long a route's requests keep a slot: at an endpoint that has lately handled their affinity key
 * (warm), and at any other.
 */

/** Estimate of a route's work, in milliseconds at an endpoint of the usual speed. */
export type WorkEstimate = {
	readonly warmMs: () => number;
	readonly coldMs: () => number;
	/** Whether any answer has told; a guess is no reason to refuse a request. */
	readonly isKnown: () => boolean;
	/** Takes in the time that a request kept a slot, divided by the endpoint's slowdown. */
	readonly record: (isWarm: boolean, workMs: number) => void;
};

/** First guesses as multiples of the latency target: a target is about what a warm answer makes with ease and a cold one misses. */
const firstWarmPart = 0.3;
const firstColdPart = 1.1;
/** Step of the estimate towards a sample, as a part of the estimate. A fixed step follows the median, which stragglers don't move. */
const step = 0.04;
/** Samples during which the estimate moves faster. */
const firstSamples = 30;
const firstStep = 0.15;

/**
 * Creates an estimate.
 *
 * @param latencyTargetMs - Latency target of the route.
 * @returns The estimate.
 */
export const createWorkEstimate = (latencyTargetMs: number): WorkEstimate => {
	let warm = latencyTargetMs * firstWarmPart;
	let cold = latencyTargetMs * firstColdPart;
	let warmSamples = 0;
	let coldSamples = 0;
	const follow = (estimate: number, sample: number, samples: number) => estimate * (1 + ((samples < firstSamples ? firstStep : step) * Math.sign(sample - estimate)));
	return {
		warmMs: () => Math.min(warm, cold),
		coldMs: () => cold,
		isKnown: () => warmSamples + coldSamples > 0,
		record(isWarm, workMs) {
			if (isWarm) {
				warm = follow(warm, workMs, warmSamples);
				warmSamples += 1;
			} else {
				cold = follow(cold, workMs, coldSamples);
				coldSamples += 1;
			}
		},
	};
};
