/**
 * Running estimate of a quantile in constant memory: each sample moves the estimate by a small
 * factor, up with the weight of the quantile and down with the rest, so that it settles where
 * the wanted share of samples lies below and follows slow changes.
 */

/** A running quantile. */
export type QuantileEstimate = {
	readonly record: (sample: number) => void;
	/** The estimate; `undefined` before the first sample. */
	readonly value: () => number | undefined;
};

const stepFactor = 0.05;
const smallestSample = 0.01;

/**
 * Creates an estimate.
 *
 * @param quantile - From 0 to 1.
 * @returns The estimate.
 */
export const createQuantileEstimate = (quantile: number): QuantileEstimate => {
	let estimate: number | undefined;
	return {
		record(sample) {
			const positive = Math.max(smallestSample, sample);
			if (estimate === undefined) {
				estimate = positive;
				return;
			}

			estimate *= positive > estimate ? 1 + (stepFactor * quantile) : 1 - (stepFactor * (1 - quantile));
		},
		value: () => estimate,
	};
};
