/**
 * Budget for attempts beyond the first, as a token bucket that requests fill. Each request adds a
 * fraction of a token and each extra attempt takes a whole one; the bucket starts empty and is
 * bounded. Extra attempts therefore stay below that fraction of the requests, however many attempts
 * fail. Retries and hedges share the retry budget of 10%. Hedges also have a budget of their own of
 * 5%, so that they cannot use up what retries need. Together they never exceed 1.1 attempts for each
 * request.
 */

/** A budget of extra attempts, as a fraction of the requests. */
export type AttemptBudget = {
	/** Records a request, which adds its fraction of a token. */
	readonly recordRequest: () => void;
	/** Whether `tryTake` would succeed. */
	readonly hasTokens: () => boolean;
	/** Takes one extra attempt if the budget allows it; returns whether it did. */
	readonly tryTake: () => boolean;
};

/** Extra attempts for each request that retries and hedges together may make. */
export const retryShare = 0.1;

/** Extra attempts for each request that hedges may make. */
export const hedgeShare = 0.05;

/** Capacity of the token bucket: the largest number of extra attempts that a budget accumulates. */
const maximumTokens = 50;

/**
 * Creates an empty budget.
 *
 * @param ratio - Extra attempts for each request, from 0 to 1.
 * @returns The budget.
 */
export const createAttemptBudget = (ratio: number): AttemptBudget => {
	let tokens = 0;
	const hasTokens = () => tokens >= 1;
	return {
		recordRequest() {
			tokens = Math.min(maximumTokens, tokens + ratio);
		},
		hasTokens,
		tryTake() {
			if (!hasTokens()) {
				return false;
			}

			tokens -= 1;
			return true;
		},
	};
};
