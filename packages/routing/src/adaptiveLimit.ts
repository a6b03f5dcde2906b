/**
 * Limit of requests in flight at an endpoint whose slots are unknown or untrue. Additive
 * increase, multiplicative decrease: an answer at the usual speed while the limit is in full
 * use raises it by a little, a refusal by the endpoint or an answer far over the usual time
 * cuts it, at most once in the time that such an answer takes, so that one burst counts once.
 * Where the configuration or a report names the slots, they are the ceiling.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** A limit that learns. */
export type AdaptiveLimit = {
	/** Requests in flight that the endpoint may have from all entries. */
	readonly current: () => number;
	/** Sets the slots that are believed, 0 where they are unknown. */
	readonly setSlots: (slots: number) => void;
	/**
	 * Records an answer.
	 * @param slowness - Its time over the usual time of its route.
	 * @param inFlight - Requests in flight when it came, itself included.
	 */
	readonly recordAnswer: (slowness: number, inFlight: number) => void;
	/** Records that the endpoint refused a request as not run. */
	readonly recordRefusal: () => void;
};

const unknownStart = 4;
const unknownCeiling = 64;
const decreaseFactor = 0.8;
const slowAnswer = 3;
const decreaseIntervalMs = 250;

/**
 * Creates a limit.
 *
 * @param clock - Monotonic milliseconds.
 * @param initialSlots - Slots by the configuration, 0 where unknown.
 * @returns The limit, at the slots or at a small start.
 */
export const createAdaptiveLimit = (clock: Clock, initialSlots: number): AdaptiveLimit => {
	let slots = initialSlots;
	let limit = initialSlots > 0 ? initialSlots : unknownStart;
	let decreasedAtMs = -Infinity;

	const ceiling = () => slots > 0 ? slots : unknownCeiling;

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
				limit = slots > 0 ? slots : Math.min(limit, unknownCeiling);
			}
		},
		recordAnswer(slowness, inFlight) {
			if (slowness > slowAnswer && inFlight > 1) {
				decrease();
				return;
			}

			const isInUse = slots > 0 || inFlight >= limit - 1;
			if (slowness <= slowAnswer && isInUse) {
				limit = Math.min(ceiling(), limit + (1 / limit));
			}
		},
		recordRefusal: decrease,
	};
};
