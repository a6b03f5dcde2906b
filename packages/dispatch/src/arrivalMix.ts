/**
 * Which part of the requests goes to each service.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingCount, type SlidingCount} from './slidingCount.js';

/** Requests of the last seconds by service. */
export type ArrivalMix = {
	readonly record: (service: string) => void;
	/** Part of all requests, from 0 to 1. */
	readonly shareOf: (service: string) => number;
};

const windowMs = 5000;

/**
 * Creates an empty mix.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The mix.
 */
export const createArrivalMix = (clock: Clock): ArrivalMix => {
	const all = createSlidingCount(clock, windowMs);
	const byService = new Map<string, SlidingCount>();
	return {
		record(service) {
			const count = byService.get(service) ?? createSlidingCount(clock, windowMs);
			byService.set(service, count);
			count.record();
			all.record();
		},
		shareOf: service => (byService.get(service)?.count() ?? 0) / Math.max(all.count(), 1),
	};
};
