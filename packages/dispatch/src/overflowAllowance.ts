/**
 * A region that fills up: its requests may overflow to other regions, but only a small part of them in any
 * short time. A larger part moves by the shares between regions, at their bounded speed.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingCount} from './slidingCount.js';

/** Requests that left the region that the shares chose. */
export type OverflowAllowance = {
	readonly recordRequest: () => void;
	/** Takes one overflow if there is room. */
	readonly tryTake: () => boolean;
};

/** The window in which a change of region is bounded, in milliseconds. */
const windowMs = 2000;
/** Part of the bound that overflow may use; the rest is for moving shares. */
const overflowPart = 0.4;

/**
 * Creates an unused allowance.
 *
 * @param clock - Monotonic milliseconds.
 * @param largestShift - Part of a region's requests that may change region within the window.
 * @returns The allowance.
 */
export const createOverflowAllowance = (clock: Clock, largestShift: () => number): OverflowAllowance => {
	const requests = createSlidingCount(clock, windowMs);
	const overflows = createSlidingCount(clock, windowMs);
	return {
		recordRequest: requests.record,
		tryTake() {
			if (overflows.count() + 1 > Math.max(requests.count() * largestShift() * overflowPart, 1)) {
				return false;
			}

			overflows.record();
			return true;
		},
	};
};
