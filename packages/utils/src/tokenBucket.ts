/**
 * Token bucket for rate limits, on a monotonic clock.
 */
import type {Clock} from './clock.js';

/** A rate limit with a bounded burst. */
export type TokenBucket = {
	/** Takes the tokens and returns true if there are enough; otherwise takes none and returns false. */
	readonly tryTake: (tokens: number) => boolean;
	/** Takes the tokens unconditionally; the level may become negative. */
	readonly forceTake: (tokens: number) => void;
	/** Number of available tokens; may be fractional or negative. */
	readonly level: () => number;
	/** Changes rate and burst; a level above the new burst is reduced to it. */
	readonly configure: (rate: TokenRate) => void;
};

/** Rate and burst of a token bucket. */
export type TokenRate = {
	readonly tokensPerSecond: number;
	/** Maximum number of tokens that accumulate in an idle bucket. */
	readonly burst: number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a full token bucket.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param initialRate - Tokens per second and burst.
 * @returns The bucket.
 */
export const createTokenBucket = (clock: Clock, initialRate: TokenRate): TokenBucket => {
	let rate = initialRate;
	let level = rate.burst;
	let refilledAt = clock();

	const refill = () => {
		const now = clock();
		level = Math.min(rate.burst, level + (((now - refilledAt) * rate.tokensPerSecond) / millisecondsPerSecond));
		refilledAt = now;
	};

	return {
		tryTake(tokens) {
			refill();
			if (level < tokens) {
				return false;
			}

			level -= tokens;
			return true;
		},
		forceTake(tokens) {
			refill();
			level -= tokens;
		},
		level() {
			refill();
			return level;
		},
		configure(newRate) {
			refill();
			rate = newRate;
			level = Math.min(level, rate.burst);
		},
	};
};
