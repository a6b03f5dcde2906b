/**
 * Budget for attempts beyond the first. Each request pays in a fraction of an attempt, each
 * extra attempt takes out a whole one, and a bounded number is saved up, so that extra attempts stay
 * under that fraction of the requests however many attempts fail; at first nothing is saved. Retries and hedges share
 * the retry budget of 10%; hedges also have their own of 5%, so that hedging cannot use up
 * what retries need, and both together never pass 1.1 attempts for each request.
 */

/** A budget as a share of requests. */
export type AttemptBudget = {
	/** Counts a request. */
	readonly recordRequest: () => void;
	/** Whether an extra attempt could be taken now. */
	readonly hasRoom: () => boolean;
	/** Takes one extra attempt if there is room. */
	readonly tryTake: () => boolean;
};

/** Share of requests that may be retried, hedges included. */
export const retryShare = 0.1;

/** Share of requests that may be hedged. */
export const hedgeShare = 0.05;

const savedAttempts = 50;

/**
 * Creates an empty budget.
 *
 * @param share - Extra attempts for each request, from 0 to 1.
 * @returns The budget.
 */
export const createAttemptBudget = (share: number): AttemptBudget => {
	let level = 0;
	const hasRoom = () => level >= 1;
	return {
		recordRequest() {
			level = Math.min(savedAttempts, level + share);
		},
		hasRoom,
		tryTake() {
			if (!hasRoom()) {
				return false;
			}

			level -= 1;
			return true;
		},
	};
};
