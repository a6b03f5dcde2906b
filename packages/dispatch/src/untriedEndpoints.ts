/**
 * Finds new endpoints to which this instance has not sent a request. After a scale-out an endpoint may by chance be the
 * affinity endpoint of no key in use. One instance then sends it an idempotent request, which verifies that the new
 * capacity works before it is needed.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** Finds endpoints to which this instance has not sent a request. */
export type UntriedEndpoints = {
	/** Returns the first of the endpoints to which this instance should send a request; `undefined` if there is none. */
	readonly findToTry: (endpoints: readonly TrackedEndpoint[]) => TrackedEndpoint | undefined;
};

/** Time after an endpoint has become warm in which it may still receive its first request by affinity. */
const affinityGraceMs = 1200;
/** Endpoints that are first seen within this time after the start of the process do not count as new. */
const startupMs = 5000;

/**
 * Creates the search. One instance of the region, chosen by rendezvous hashing, is responsible for each endpoint.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param self - Id of this instance.
 * @param regionInstances - Returns the ids of the instances of this region, including this one.
 * @returns The search.
 */
export const createUntriedEndpoints = (clock: Clock, self: string, regionInstances: () => readonly string[]): UntriedEndpoints => {
	const startedAtMs = clock();

	const shouldTry = (endpoint: TrackedEndpoint): boolean => {
		const {firstSeenAtMs, endpoint: {id}} = endpoint.registered();
		return firstSeenAtMs > startedAtMs + startupMs
			&& endpoint.sentRequestCount() === 0
			&& endpoint.warmSinceMs() + affinityGraceMs < clock()
			&& rendezvousOrder(id, regionInstances())[0] === self;
	};

	return {findToTry: endpoints => endpoints.find(endpoint => shouldTry(endpoint))};
};
