/**
 * Measures the rate of arriving requests over consecutive periods.
 */

/** Counter of arriving requests. */
export type RequestRate = {
	/** Counts one request. */
	readonly count: () => void;
	/** Ends the current period, which lasted `elapsedMs`, and starts the next. */
	readonly endPeriod: (elapsedMs: number) => void;
	/** Requests per second in the last completed period, rounded; 0 before the first period ends. */
	readonly perSecond: () => number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a counter and starts its first period.
 *
 * @returns The counter, at zero.
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
