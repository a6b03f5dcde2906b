/**
 * Streaming estimate of a quantile in constant memory. Each sample moves the estimate by a small
 * factor: up in proportion to the quantile, down in proportion to its complement. It converges to
 * the value below which the wanted fraction of the samples lies, and follows slow changes.
 */

/** A streaming estimate of a quantile. */
export type QuantileEstimate = {
	readonly record: (sample: number) => void;
	/** The current estimate; `undefined` before the first sample. */
	readonly value: () => number | undefined;
};

const adjustmentFactor = 0.05;
/** Lower bound of a sample: the estimate changes by factors, so it must stay above 0. */
const minimumSample = 0.01;

/**
 * Creates a quantile estimate, without samples.
 *
 * @param quantile - Quantile to estimate, from 0 to 1.
 * @returns The estimate.
 */
export const createQuantileEstimate = (quantile: number): QuantileEstimate => {
	let estimate: number | undefined;
	return {
		record(sample) {
			const boundedSample = Math.max(minimumSample, sample);
			if (estimate === undefined) {
				estimate = boundedSample;
				return;
			}

			estimate *= boundedSample > estimate ? 1 + (adjustmentFactor * quantile) : 1 - (adjustmentFactor * (1 - quantile));
		},
		value: () => estimate,
	};
};
