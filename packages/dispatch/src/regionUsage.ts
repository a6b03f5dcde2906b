/**
 * Adds up the capacity and the load of the endpoints of a region.
 */
import type {RegionName} from '@filbertwell/types/place';
import type {RegionUsage} from './serviceShares.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/**
 * Adds up the endpoints. Runs several times a second over all endpoints of a service, so it allocates nothing for each.
 *
 * @param region - Region of the endpoints.
 * @param endpoints - Endpoints of one service that may receive requests.
 * @returns The usage of the region.
 */
export const regionUsageOf = (region: RegionName, endpoints: readonly TrackedEndpoint[]): RegionUsage => {
	let slots = 0;
	let effectiveSlots = 0;
	let load = 0;
	for (const endpoint of endpoints) {
		slots += endpoint.slots();
		effectiveSlots += endpoint.slots() / endpoint.slowdown();
		load += endpoint.load();
	}

	return {
		region, slots, effectiveSlots, load,
	};
};
