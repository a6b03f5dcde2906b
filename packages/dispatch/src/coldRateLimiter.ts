/**
 * Limits the rate of requests to cold endpoints. The limit of an endpoint holds for all instances together, so only
 * a few instances, chosen by rendezvous hashing, send to a cold endpoint, each with an equal part of the rate.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import {createTokenBucket, type TokenBucket} from '@filbertwell/utils/tokenBucket';

/** Rate limiter for cold endpoints. `requestsPerSecond` is the limit of the endpoint over all instances. */
export type ColdRateLimiter = {
	/** Whether this instance may send a request to the endpoint now. */
	readonly maySend: (endpointId: string, requestsPerSecond: number) => boolean;
	/** Counts a request that is sent to the endpoint. */
	readonly recordSend: (endpointId: string, requestsPerSecond: number) => void;
};

/** Two instances send to each cold endpoint, so that it still warms up when one of them is unreachable. */
const sendersPerEndpoint = 2;
/** Time for which the selected senders are cached. It is shorter than the time in which membership detects a failed instance. */
const senderCacheMs = 500;
/** Largest burst of requests from one sender. */
const burst = 1;

export type ColdRateLimiterOptions = {
	readonly clock: Clock;
	/** Id of this instance. */
	readonly self: string;
	/** Ids of all instances, this one included. */
	readonly instances: () => readonly string[];
	/**
	 * Whether enough time has passed since the start of this instance to discover its peers. Until then it would
	 * select itself as a sender for every cold endpoint, so it sends to none.
	 */
	readonly hasDiscoveredPeers: () => boolean;
};

/**
 * Creates a rate limiter for cold endpoints.
 *
 * @param options - Clock, this instance and its peers.
 * @returns The limiter, with a full token bucket for each endpoint.
 */
export const createColdRateLimiter = ({clock, self, instances, hasDiscoveredPeers}: ColdRateLimiterOptions): ColdRateLimiter => {
	const buckets = new Map<string, TokenBucket>();
	/** Whether this instance is a sender, by endpoint; cached for the current members. */
	const isSenderByEndpoint = new Map<string, boolean>();
	let cachedAtMs = clock();

	const isSender = (endpointId: string): boolean => {
		if (clock() - cachedAtMs > senderCacheMs) {
			isSenderByEndpoint.clear();
			cachedAtMs = clock();
		}

		const isSelected = isSenderByEndpoint.get(endpointId) ?? rendezvousOrder(endpointId, instances()).slice(0, sendersPerEndpoint).includes(self);
		isSenderByEndpoint.set(endpointId, isSelected);
		return isSelected;
	};

	const bucketOf = (endpointId: string, requestsPerSecond: number): TokenBucket => {
		const existing = buckets.get(endpointId);
		const bucket = existing ?? createTokenBucket(clock, {tokensPerSecond: requestsPerSecond / sendersPerEndpoint, burst});
		buckets.set(endpointId, bucket);
		return bucket;
	};

	return {
		maySend(endpointId, requestsPerSecond) {
			return hasDiscoveredPeers() && isSender(endpointId) && bucketOf(endpointId, requestsPerSecond).level() >= 1;
		},
		recordSend(endpointId, requestsPerSecond) {
			bucketOf(endpointId, requestsPerSecond).tryTake(1);
		},
	};
};
