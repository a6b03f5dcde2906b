/**
 * Requests that this instance may send to cold endpoints. The bound holds for all instances together, so
 * only a few instances send to a cold endpoint, each with its part of the rate.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import {createTokenBucket, type TokenBucket} from '@filbertwell/utils/tokenBucket';

/** Allowance for cold endpoints. */
export type ColdAllowance = {
	/** Whether a request may be sent now. */
	readonly mayTake: (endpointId: string, requestsPerSecond: number) => boolean;
	/** Counts a request that is sent. */
	readonly take: (endpointId: string, requestsPerSecond: number) => void;
	/** Forgets an endpoint that is warm or gone. */
	readonly forget: (endpointId: string) => void;
};

/** Instances that send to one cold endpoint: two, so that it warms up though one of them is cut off. */
const senders = 2;
/** Requests that each sender may send at once. */
const burst = 1;

/**
 * Creates an allowance.
 *
 * @param clock - Monotonic milliseconds.
 * @param self - Id of this instance.
 * @param instances - Ids of all instances, this one included.
 * @returns The allowance.
 */
export const createColdAllowance = (clock: Clock, self: string, instances: () => readonly string[]): ColdAllowance => {
	const buckets = new Map<string, TokenBucket>();

	const bucketOf = (endpointId: string, requestsPerSecond: number): TokenBucket => {
		const known = buckets.get(endpointId);
		const bucket = known ?? createTokenBucket(clock, {tokensPerSecond: requestsPerSecond / senders, burst});
		buckets.set(endpointId, bucket);
		return bucket;
	};

	return {
		mayTake(endpointId, requestsPerSecond) {
			const isSender = rendezvousOrder(endpointId, instances()).slice(0, senders).includes(self);
			return isSender && bucketOf(endpointId, requestsPerSecond).level() >= 1;
		},
		take(endpointId, requestsPerSecond) {
			bucketOf(endpointId, requestsPerSecond).tryTake(1);
		},
		forget(endpointId) {
			buckets.delete(endpointId);
		},
	};
};
