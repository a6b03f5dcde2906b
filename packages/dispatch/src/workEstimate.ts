/**
 * How long a route's requests keep a slot: at an endpoint that has lately handled their affinity key
 * (warm), and at any other.
 */

/** Estimate of a route's work, in milliseconds at an endpoint of the usual speed. */
export type WorkEstimate = {
	readonly warmMs: () => number;
	readonly coldMs: () => number;
	/** Takes in the time that a request kept a slot, divided by the endpoint's slowdown. */
	readonly record: (isWarm: boolean, workMs: number) => void;
};

/** First guesses as multiples of the latency target, until answers tell. */
const firstWarmPart = 0.5;
const firstColdPart = 1;
/** Weight of a new sample. */
const sampleWeight = 0.08;
/** Longest sample as a multiple of the estimate, so that one straggler does not spoil it. */
const largestRatio = 3;

/**
 * Creates an estimate.
 *
 * @param latencyTargetMs - Latency target of the route.
 * @returns The estimate.
 */
export const createWorkEstimate = (latencyTargetMs: number): WorkEstimate => {
	let warm = latencyTargetMs * firstWarmPart;
	let cold = latencyTargetMs * firstColdPart;
	const blend = (estimate: number, sample: number) => estimate + (sampleWeight * (Math.min(sample, estimate * largestRatio) - estimate));
	return {
		warmMs: () => Math.min(warm, cold),
		coldMs: () => cold,
		record(isWarm, workMs) {
			if (isWarm) {
				warm = blend(warm, workMs);
			} else {
				cold = blend(cold, workMs);
			}
		},
	};
};
