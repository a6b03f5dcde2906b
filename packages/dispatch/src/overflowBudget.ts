/**
 * Limits how many requests overflow from a full region to other regions within a short time. Larger amounts of traffic
 * move through the shares of the regions, which change at a bounded rate.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingWindowCounter} from './slidingWindowCounter.js';

/** Budget of requests that are served outside the region that the shares assign. */
export type OverflowBudget = {
	/** Counts a request, which raises the budget. */
	readonly recordRequest: () => void;
	/** Takes one request from the budget; returns false if the budget is used up. */
	readonly tryTake: () => boolean;
};

/** Window in which the fraction of requests that change region is bounded. */
const windowMs = 2000;
/** Fraction of the bound that overflow may use; the rest is for changes of the shares. */
const overflowFraction = 0.4;

/**
 * Creates an unused budget. It permits at least one request in each window.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param largestShift - Returns the fraction of the requests of a region that may change region within 2 s.
 * @returns The budget.
 */
export const createOverflowBudget = (clock: Clock, largestShift: () => number): OverflowBudget => {
	const requests = createSlidingWindowCounter(clock, windowMs);
	const overflows = createSlidingWindowCounter(clock, windowMs);
	return {
		recordRequest: requests.record,
		tryTake() {
			if (overflows.count() + 1 > Math.max(requests.count() * largestShift() * overflowFraction, 1)) {
				return false;
			}

			overflows.record();
			return true;
		},
	};
};
