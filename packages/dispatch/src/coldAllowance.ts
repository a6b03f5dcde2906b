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
};

/** Instances that send to one cold endpoint: two, so that it warms up though one of them is cut off. */
const senders = 2;
/** Time for which a view of the members serves, in milliseconds: less than a member takes to be missed. */
const memberViewMs = 500;
/** Requests that each sender may send at once. */
const burst = 1;

/** Parameters of the allowance. */
export type ColdAllowanceOptions = {
	readonly clock: Clock;
	/** Id of this instance. */
	readonly self: string;
	/** Ids of all instances, this one included. */
	readonly instances: () => readonly string[];
	/** Whether this instance has had the time to hear of the others; before, it would take itself for a sender of all. */
	readonly knowsPeers: () => boolean;
};

/**
 * Creates an allowance.
 *
 * @param options - This instance and its peers.
 * @returns The allowance.
 */
export const createColdAllowance = ({clock, self, instances, knowsPeers}: ColdAllowanceOptions): ColdAllowance => {
	const buckets = new Map<string, TokenBucket>();
	/** Whether this instance sends to a cold endpoint, for the members of one moment. */
	const sends = new Map<string, boolean>();
	let sendsForMs = clock();

	const isSender = (endpointId: string): boolean => {
		if (clock() - sendsForMs > memberViewMs) {
			sends.clear();
			sendsForMs = clock();
		}

		const known = sends.get(endpointId) ?? rendezvousOrder(endpointId, instances()).slice(0, senders).includes(self);
		sends.set(endpointId, known);
		return known;
	};

	const bucketOf = (endpointId: string, requestsPerSecond: number): TokenBucket => {
		const known = buckets.get(endpointId);
		const bucket = known ?? createTokenBucket(clock, {tokensPerSecond: requestsPerSecond / senders, burst});
		buckets.set(endpointId, bucket);
		return bucket;
	};

	return {
		mayTake(endpointId, requestsPerSecond) {
			return knowsPeers() && isSender(endpointId) && bucketOf(endpointId, requestsPerSecond).level() >= 1;
		},
		take(endpointId, requestsPerSecond) {
			bucketOf(endpointId, requestsPerSecond).tryTake(1);
		},
	};
};
