/**
 * A scale-out: endpoints that join while all keys have their places. By chance a newcomer may be the place of
 * no key in use; one instance then sends it a request that may be repeated, so that its capacity is known to
 * work before it is needed.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** Finds newcomers without requests. */
export type Newcomers = {
	/** The newcomer among some endpoints to which this instance should send a request; `undefined` for none. */
	readonly due: (endpoints: readonly TrackedEndpoint[]) => TrackedEndpoint | undefined;
};

/** Time that a newcomer has to get a request by its keys, in milliseconds from when it is warm. */
const patienceMs = 1200;
/** Endpoints that were there when this process started are no newcomers. */
const startMs = 5000;

/**
 * Creates the search.
 *
 * @param clock - Monotonic milliseconds.
 * @param self - Id of this instance.
 * @param neighbours - Ids of the instances of this region, this one included.
 * @returns The search.
 */
export const createNewcomers = (clock: Clock, self: string, neighbours: () => readonly string[]): Newcomers => {
	const startedAtMs = clock();

	const isDue = (endpoint: TrackedEndpoint): boolean => {
		const {firstSeenAtMs, endpoint: {id}} = endpoint.registered();
		return firstSeenAtMs > startedAtMs + startMs
			&& endpoint.sends() === 0
			&& endpoint.warmSinceMs() + patienceMs < clock()
			&& rendezvousOrder(id, neighbours())[0] === self;
	};

	return {due: endpoints => endpoints.find(endpoint => isDue(endpoint))};
};
