/**
 * When a caller whose request was refused should come back.
 */
import type {Random} from '@filbertwell/utils/random';

/** Shortest and longest time before a caller comes back, in milliseconds. */
const shortestMs = 150;
const longestMs = 2000;
/** Part of the time by which callers are spread, so that they don't return together. */
const spread = 0.5;

/**
 * Computes the time for a refused caller.
 *
 * @param expectedWaitMs - When there is likely room again, in milliseconds.
 * @param random - Spreads the return of many callers.
 * @returns Seconds, with fractions.
 */
export const retryAfterSeconds = (expectedWaitMs: number, random: Random): number => {
	const boundedMs = Math.min(Math.max(expectedWaitMs, shortestMs), longestMs);
	return Math.round(boundedMs * (1 + (spread * random()))) / 1000;
};
