/**
 * Requests that arrived in the last whole second.
 */

/** Counts arrivals. */
export type RequestRate = {
	readonly count: () => void;
	/** Ends the current period. */
	readonly endPeriod: (elapsedMs: number) => void;
	/** Requests a second in the last ended period. */
	readonly perSecond: () => number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a counter at zero.
 *
 * @returns The counter.
 */
export const createRequestRate = (): RequestRate => {
	let arrived = 0;
	let rate = 0;
	return {
		count() {
			arrived += 1;
		},
		endPeriod(elapsedMs) {
			rate = elapsedMs > 0 ? Math.round(arrived * millisecondsPerSecond / elapsedMs) : rate;
			arrived = 0;
		},
		perSecond: () => rate,
	};
};
