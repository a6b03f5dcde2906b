/**
 * Open-loop arrivals: the start time of each request is fixed before the load begins, so that slow
 * responses never delay later requests.
 */
import type {Random} from '@filbertwell/utils/random';

const millisecondsPerSecond = 1000;

/**
 * Draws the arrival times of a Poisson process.
 *
 * @param requestsPerSecond - Mean arrival rate.
 * @param durationMs - Duration of the load in milliseconds.
 * @param random - Generator of uniform random numbers.
 * @returns Arrival times in milliseconds since the start of the load, ascending.
 */
export const drawArrivals = (requestsPerSecond: number, durationMs: number, random: Random): number[] => {
	const arrivals: number[] = [];
	const meanGapMs = millisecondsPerSecond / requestsPerSecond;
	let atMs = -meanGapMs * Math.log(1 - random());
	while (atMs < durationMs) {
		arrivals.push(atMs);
		atMs -= meanGapMs * Math.log(1 - random());
	}

	return arrivals;
};

/**
 * Selects one of several items at random, with a probability proportional to its weight.
 *
 * @param items - Items, at least one.
 * @param random - Generator of uniform random numbers.
 * @returns The selected item.
 */
export const drawWeighted = <Item extends {readonly weight: number}>(items: readonly Item[], random: Random): Item => {
	const total = items.reduce((sum, {weight}) => sum + weight, 0);
	let remainder = random() * total;
	for (const item of items) {
		remainder -= item.weight;
		if (remainder < 0) {
			return item;
		}
	}

	return items.at(-1)!;
};
