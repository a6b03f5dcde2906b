/**
 * Estimates how long the requests of a route occupy a slot, for a warm affinity key, which the endpoint has handled
 * recently, and for a cold one.
 */

/** Processing times of a route in milliseconds, at an endpoint of the usual speed. */
export type ProcessingTimeEstimate = {
	/** Processing time with a warm key; never above the one with a cold key. */
	readonly warmMs: () => number;
	/** Processing time with a cold key. */
	readonly coldMs: () => number;
	/** Whether a processing time has been recorded. The initial values are guesses, which are no reason to refuse a request. */
	readonly isKnown: () => boolean;
	/** Records the time that a request occupied a slot, divided by the slowdown of the endpoint. */
	readonly record: (isWarm: boolean, processingMs: number) => void;
};

/** Initial values as multiples of the latency target: a warm answer usually meets the target easily, and a cold one misses it. */
const initialWarmFactor = 0.3;
const initialColdFactor = 1.1;
/**
 * Amount by which a sample moves the estimate, as a fraction of the estimate. With a fixed step the estimate follows the
 * median, which stragglers do not affect.
 */
const adjustmentStep = 0.04;
/** Number of first samples for which the larger step is used. */
const fastSamples = 30;
const fastStep = 0.15;

/**
 * Creates an estimate with initial values derived from the latency target.
 *
 * @param latencyTargetMs - Latency target of the route in milliseconds.
 * @returns The estimate.
 */
export const createProcessingTimeEstimate = (latencyTargetMs: number): ProcessingTimeEstimate => {
	let warm = latencyTargetMs * initialWarmFactor;
	let cold = latencyTargetMs * initialColdFactor;
	let warmSamples = 0;
	let coldSamples = 0;
	const adjust = (estimate: number, sample: number, samples: number) => estimate * (1 + ((samples < fastSamples ? fastStep : adjustmentStep) * Math.sign(sample - estimate)));
	return {
		warmMs: () => Math.min(warm, cold),
		coldMs: () => cold,
		isKnown: () => warmSamples + coldSamples > 0,
		record(isWarm, processingMs) {
			if (isWarm) {
				warm = adjust(warm, processingMs, warmSamples);
				warmSamples += 1;
			} else {
				cold = adjust(cold, processingMs, coldSamples);
				coldSamples += 1;
			}
		},
	};
};
