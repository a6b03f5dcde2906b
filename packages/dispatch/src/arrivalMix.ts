/**
 * Measures which share of recent requests goes to each service.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {createSlidingWindowCounter, type SlidingWindowCounter} from './slidingWindowCounter.js';

/** Counts of the requests of the last 5 s by service. */
export type ArrivalMix = {
	readonly record: (service: string) => void;
	/** Share of all recent requests that went to a service, from 0 to 1; 0 when there were none. */
	readonly shareOf: (service: string) => number;
};

const windowMs = 5000;

/**
 * Creates a mix without recorded requests.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The mix.
 */
export const createArrivalMix = (clock: Clock): ArrivalMix => {
	const totalCount = createSlidingWindowCounter(clock, windowMs);
	const byService = new Map<string, SlidingWindowCounter>();
	return {
		record(service) {
			const serviceCount = byService.get(service) ?? createSlidingWindowCounter(clock, windowMs);
			byService.set(service, serviceCount);
			serviceCount.record();
			totalCount.record();
		},
		shareOf: service => (byService.get(service)?.count() ?? 0) / Math.max(totalCount.count(), 1),
	};
};
