/**
 * Finds the affinity endpoint of a key in a region and the overflow endpoint that serves the key while the affinity
 * endpoint is full. All instances with the same endpoints find the same ones and prefer them for the requests with this
 * key, so that the key stays warm there. The first endpoints of each key are cached until the endpoints change, because
 * a service has hundreds of endpoints and the choice for a request must take only a few microseconds.
 */
import type {RegionName} from '@filbertwell/types/place';
import {affinityOrder} from './affinityOrder.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** Finds the endpoints that keep a key warm. */
export type AffinityEndpoints = {
	/**
	 * Returns the first two endpoints in the order of the key that may serve the request: the affinity endpoint and the
	 * overflow endpoint. The list is shorter if fewer may serve.
	 */
	readonly find: (query: AffinityQuery) => readonly TrackedEndpoint[];
};

/** A key with the endpoints of one service in one region among which its endpoints are searched. */
export type AffinityQuery = {
	readonly key: string;
	readonly service: string;
	readonly region: RegionName;
	readonly endpoints: readonly TrackedEndpoint[];
	/** Whether the request may be sent to an endpoint. */
	readonly mayServe: (endpoint: TrackedEndpoint) => boolean;
};

/** The affinity endpoint and the overflow endpoint. */
const endpointsPerKey = 2;
/** Number of endpoints cached for each key. All endpoints are ranked again only when too few of these may serve. */
const cachedEndpointsPerKey = 8;
/** Maximum number of cached keys. Further keys are ranked on each request. */
const maximumCachedKeys = 4000;

const rankEndpoints = (key: string, endpoints: readonly TrackedEndpoint[]): TrackedEndpoint[] => {
	const byId = new Map(endpoints.map(endpoint => [endpoint.registered().endpoint.id, endpoint]));
	return affinityOrder(key, [...byId].map(([id, endpoint]) => ({id, weight: endpoint.slots()}))).map(id => byId.get(id)!);
};

/**
 * Creates the search with an empty cache.
 *
 * @param version - Returns a number that increases with each change of the endpoints; a new number clears the cache.
 * @returns The search.
 */
export const createAffinityEndpoints = (version: () => number): AffinityEndpoints => {
	const rankedByKey = new Map<string, readonly TrackedEndpoint[]>();
	let cachedVersion = version();

	const topRanked = ({key, service, region, endpoints}: AffinityQuery): readonly TrackedEndpoint[] => {
		if (cachedVersion !== version()) {
			rankedByKey.clear();
			cachedVersion = version();
		}

		const cacheKey = `${service}\u0000${region}\u0000${key}`;
		const cached = rankedByKey.get(cacheKey);
		if (cached !== undefined) {
			return cached;
		}

		const topEndpoints = rankEndpoints(key, endpoints).slice(0, cachedEndpointsPerKey);
		if (rankedByKey.size < maximumCachedKeys) {
			rankedByKey.set(cacheKey, topEndpoints);
		}

		return topEndpoints;
	};

	return {
		find(query) {
			const {key, endpoints, mayServe} = query;
			const found = topRanked(query).filter(endpoint => mayServe(endpoint)).slice(0, endpointsPerKey);
			return found.length === endpointsPerKey || endpoints.length <= cachedEndpointsPerKey
				? found
				: rankEndpoints(key, endpoints).filter(endpoint => mayServe(endpoint)).slice(0, endpointsPerKey);
		},
	};
};
