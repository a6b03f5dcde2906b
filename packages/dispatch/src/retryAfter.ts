/**
 * Computes the retry delay for callers whose requests were refused.
 */
import type {Random} from '@filbertwell/utils/random';

/** Bounds of the delay before jitter. */
const minimumDelayMs = 150;
const maximumDelayMs = 2000;
/** Largest jitter as a fraction of the delay. It prevents callers from retrying at the same moment. */
const jitterFraction = 0.5;

/**
 * Computes after how many seconds a refused caller should retry.
 *
 * @param expectedWaitMs - Expected time until there is capacity, in milliseconds.
 * @param random - Random source of the jitter.
 * @returns Delay in seconds, rounded to milliseconds; between 0.15 and 3.
 */
export const retryAfterSeconds = (expectedWaitMs: number, random: Random): number => {
	const boundedMs = Math.min(Math.max(expectedWaitMs, minimumDelayMs), maximumDelayMs);
	return Math.round(boundedMs * (1 + (jitterFraction * random()))) / 1000;
};
