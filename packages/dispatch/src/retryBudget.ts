/**
 * Limits how many retries this instance sends to a service. The limit holds for all instances together, so each
 * instance may use the ratio of its own requests and an equal part of the extra retries.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingWindowCounter, type SlidingWindowCounter} from './slidingWindowCounter.js';

/** Limit on the retries to a service over all instances. */
export type RetryLimit = {
	/** Retries permitted for each request in the window. */
	readonly ratio: number;
	/** Further retries permitted in the window, regardless of the number of requests. */
	readonly extraRetries: number;
	readonly windowMs: number;
};

/** Retry budget of one service. */
export type RetryBudget = {
	/** Counts a request, without its retries. */
	readonly recordRequest: () => void;
	/** Takes one retry from the budget; returns false if the budget is used up. */
	readonly tryTake: () => boolean;
};

/** Fraction of the limit that is used. The rest is a margin, because instances may temporarily disagree on their number. */
const usedFraction = 0.8;

/**
 * Creates an unused retry budget.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param limit - Returns the limit over all instances. The length of the window is read only once.
 * @param instanceCount - Returns the number of instances that share the extra retries.
 * @returns The budget.
 */
export const createRetryBudget = (clock: Clock, limit: () => RetryLimit, instanceCount: () => number): RetryBudget => {
	const requests: SlidingWindowCounter = createSlidingWindowCounter(clock, limit().windowMs);
	const retries: SlidingWindowCounter = createSlidingWindowCounter(clock, limit().windowMs);

	const maximumRetries = () => {
		const {ratio, extraRetries} = limit();
		return ((ratio * requests.count()) + (extraRetries / Math.max(instanceCount(), 1))) * usedFraction;
	};

	return {
		recordRequest: requests.record,
		tryTake() {
			if (retries.count() + 1 > maximumRetries()) {
				return false;
			}

			retries.record();
			return true;
		},
	};
};
