/**
 * Token bucket on a monotonic clock.
 */
import type {Clock} from './clock.js';

/** A rate limit with a bounded burst. */
export type TokenBucket = {
	/** Takes tokens if there are enough; returns whether it did. */
	readonly tryTake: (tokens: number) => boolean;
	/** Takes tokens in any case; the level may fall below zero. */
	readonly takeDebt: (tokens: number) => void;
	/** Tokens at hand; negative after debt. */
	readonly level: () => number;
	/** Changes rate and burst, keeping the level within the new burst. */
	readonly configure: (rate: TokenRate) => void;
};

/** Rate of a token bucket. */
export type TokenRate = {
	readonly tokensPerSecond: number;
	/** Most tokens that an idle bucket gathers. */
	readonly burst: number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a full token bucket.
 *
 * @param clock - Monotonic milliseconds.
 * @param initialRate - Tokens a second and burst.
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
		takeDebt(tokens) {
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
