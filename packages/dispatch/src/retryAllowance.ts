/**
 * How many repeated sends this instance may add to a service. The bound holds for all instances
 * together, so each takes its part of the fixed extra and the ratio of its own requests.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingCount, type SlidingCount} from './slidingCount.js';

/** Bound on repeated sends to a service, over all instances. */
export type RetryBound = {
	/** Repeats for each request in the window. */
	readonly ratio: number;
	/** Further repeats in the window, whatever the requests. */
	readonly extra: number;
	readonly windowMs: number;
};

/** Allowance of one service. */
export type RetryAllowance = {
	readonly recordRequest: () => void;
	/** Takes one repeat if there is room. */
	readonly tryTake: () => boolean;
};

/** Part of the bound that is used: views of the number of instances differ for a while. */
const usedPart = 0.8;

/**
 * Creates an unused allowance.
 *
 * @param clock - Monotonic milliseconds.
 * @param bound - Bound over all instances.
 * @param instances - Number of instances that share it.
 * @returns The allowance.
 */
export const createRetryAllowance = (clock: Clock, bound: () => RetryBound, instances: () => number): RetryAllowance => {
	const requests: SlidingCount = createSlidingCount(clock, bound().windowMs);
	const repeats: SlidingCount = createSlidingCount(clock, bound().windowMs);

	const allowed = () => {
		const {ratio, extra} = bound();
		return ((ratio * requests.count()) + (extra / Math.max(instances(), 1))) * usedPart;
	};

	return {
		recordRequest: requests.record,
		tryTake() {
			if (repeats.count() + 1 > allowed()) {
				return false;
			}

			repeats.record();
			return true;
		},
	};
};
