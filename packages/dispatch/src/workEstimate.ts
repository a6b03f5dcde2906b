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
/** Step of the estimate towards a sample, as a part of the estimate. A fixed step follows the median, which stragglers don't move. */
const step = 0.04;

/**
 * Creates an estimate.
 *
 * @param latencyTargetMs - Latency target of the route.
 * @returns The estimate.
 */
export const createWorkEstimate = (latencyTargetMs: number): WorkEstimate => {
	let warm = latencyTargetMs * firstWarmPart;
	let cold = latencyTargetMs * firstColdPart;
	const follow = (estimate: number, sample: number) => estimate * (1 + (step * Math.sign(sample - estimate)));
	return {
		warmMs: () => Math.min(warm, cold),
		coldMs: () => cold,
		record(isWarm, workMs) {
			if (isWarm) {
				warm = follow(warm, workMs);
			} else {
				cold = follow(cold, workMs);
			}
		},
	};
};
