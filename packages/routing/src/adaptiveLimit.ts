/**
 * Concurrency limit of an endpoint whose number of slots is unknown or misreported, by additive
 * increase and multiplicative decrease. An answer at normal speed while the limit is fully used
 * raises it slightly. A refusal, or an answer that takes several times the usual time, lowers it,
 * at most once within about the duration of such an answer, so that one burst counts once. If the
 * configuration or a report gives the number of slots, that number is the upper bound.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** A concurrency limit that adapts to answers and refusals. */
export type AdaptiveLimit = {
	/** Maximum number of requests in flight at the endpoint from all entries, at least 1. */
	readonly current: () => number;
	/** Sets the upper bound to a number of slots, 0 when it is unknown. A changed known number resets the limit to it. */
	readonly setSlots: (slots: number) => void;
	/**
	 * Records an answer.
	 * @param latencyRatio - Time to first byte over the median of its route.
	 * @param inFlight - Requests in flight when it arrived, including its own.
	 */
	readonly recordAnswer: (latencyRatio: number, inFlight: number) => void;
	/** Records that the endpoint refused a request without running it. */
	readonly recordRefusal: () => void;
};

const initialLimitWithoutSlots = 4;
const maximumLimitWithoutSlots = 64;
/** Factor of a multiplicative decrease. */
const decreaseFactor = 0.8;
/** Latency ratio above which an answer lowers the limit. */
const decreaseLatencyRatio = 3;
/** Minimum time between two decreases, about as long as a slow answer takes. */
const decreaseIntervalMs = 250;

/**
 * Creates an adaptive limit.
 *
 * @param clock - Monotonic clock, in milliseconds.
 * @param initialSlots - Configured number of slots, 0 when unknown.
 * @returns The limit, which starts at the number of slots, or at 4 when that is unknown.
 */
export const createAdaptiveLimit = (clock: Clock, initialSlots: number): AdaptiveLimit => {
	let slots = initialSlots;
	let limit = initialSlots > 0 ? initialSlots : initialLimitWithoutSlots;
	let decreasedAtMs = -Infinity;

	const ceiling = () => slots > 0 ? slots : maximumLimitWithoutSlots;

	const decrease = () => {
		const nowMs = clock();
		if (nowMs - decreasedAtMs >= decreaseIntervalMs) {
			decreasedAtMs = nowMs;
			limit = Math.max(1, limit * decreaseFactor);
		}
	};

	return {
		current: () => Math.max(1, Math.round(limit)),
		setSlots(newSlots) {
			if (newSlots !== slots) {
				slots = newSlots;
				limit = slots > 0 ? slots : Math.min(limit, maximumLimitWithoutSlots);
			}
		},
		recordAnswer(latencyRatio, inFlight) {
			if (latencyRatio > decreaseLatencyRatio && inFlight > 1) {
				decrease();
				return;
			}

			const mayIncrease = slots > 0 || inFlight >= limit - 1;
			if (latencyRatio <= decreaseLatencyRatio && mayIncrease) {
				limit = Math.min(ceiling(), limit + (1 / limit));
			}
		},
		recordRefusal: decrease,
	};
};
