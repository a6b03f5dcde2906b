/**
 * Open-loop arrivals: each request's start is fixed before the load begins, so that slow
 * answers never delay later requests.
 */
import type {Random} from '@filbertwell/utils/random';

const millisecondsPerSecond = 1000;

/**
 * Draws Poisson arrivals.
 *
 * @param requestsPerSecond - Mean rate.
 * @param durationMs - Length of the load.
 * @param random - Uniform random numbers.
 * @returns Start times in milliseconds from the load's start, ascending.
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
 * Draws one of several weighted items.
 *
 * @param items - At least one item with a weight.
 * @param random - Uniform random numbers.
 * @returns The item drawn.
 */
export const drawWeighted = <Item extends {readonly weight: number}>(items: readonly Item[], random: Random): Item => {
	const total = items.reduce((sum, {weight}) => sum + weight, 0);
	let rest = random() * total;
	for (const item of items) {
		rest -= item.weight;
		if (rest < 0) {
			return item;
		}
	}

	return items.at(-1)!;
};
