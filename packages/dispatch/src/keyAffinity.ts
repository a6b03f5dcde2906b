/**
 * Relates the affinity keys of requests to the endpoints that keep them warm, and estimates where a key is warm.
 */
import type {RegionName} from '@filbertwell/types/place';
import {createAffinityEndpoints} from './affinityEndpoints.js';
import type {DispatchedRequest} from './dispatchedRequest.js';
import type {EndpointPool} from './endpointPool.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';
import {createWarmthEstimate, type WarmthEstimate} from './warmthEstimate.js';

/** The affinity key of a request, the endpoints of a region that keep it warm and all endpoints of the region. */
export type KeyAffinity = {
	readonly key: string | undefined;
	readonly service: string;
	readonly affinityEndpoint: TrackedEndpoint | undefined;
	/** Serves the key while the affinity endpoint is full; `undefined` if the endpoints of the service can't keep more keys warm. */
	readonly overflowEndpoint: TrackedEndpoint | undefined;
	readonly endpoints: readonly TrackedEndpoint[];
};

/** Finds the endpoints that keep keys warm. */
export type KeyAffinities = {
	/** Returns the endpoints of a region that keep the key of a request warm. */
	readonly of: (request: DispatchedRequest, region: RegionName) => KeyAffinity;
	/** Probability that the key is warm at an endpoint, from 0 to 1. */
	readonly warmProbability: (endpoint: TrackedEndpoint, affinity: KeyAffinity) => number;
	/** Records the processing time of a request at one of these endpoints, with the times expected for a warm and a cold key. */
	readonly recordProcessingTime: (affinity: AffinityUse, processingMs: number, warmMs: number, coldMs: number) => void;
};

/** Use of an endpoint that keeps a key warm. */
export type AffinityUse = {
	readonly service: string;
	/** `affinity`: the affinity endpoint. `overflow`: the overflow endpoint. */
	readonly kind: 'affinity' | 'overflow';
};

/** Probability that a key is warm at its affinity endpoint, to which all instances send it. */
const affinityWarmProbability = 0.95;
/** Probability that a key is warm at another endpoint to which this instance recently sent it. */
const recentKeyWarmProbability = 0.85;
const initialOverflowWarmth = 0.5;
/**
 * Fraction of the keys that must still be warm at their affinity endpoints for overflow endpoints to be used. If fewer
 * are, the endpoints have more keys than they keep warm, and a key at a further endpoint would evict others.
 */
const minimumRetention = 0.8;
const initialRetention = 0.5;

/** Observations of a service. */
type ServiceWarmth = {
	/** Warmth of keys at their affinity endpoints. */
	readonly retention: WarmthEstimate;
	/** Warmth of keys at their overflow endpoints. */
	readonly overflow: WarmthEstimate;
};

/**
 * Returns the affinity key of a request, which is unique over all routes.
 *
 * @param request - Request with its route and the key of its caller.
 * @returns The key; `undefined` if the request has no affinity.
 */
export const keyOf = ({route, affinityKey}: DispatchedRequest): string | undefined => affinityKey === undefined || !route.isSticky ? undefined : `${route.name}\u0000${affinityKey}`;

/**
 * Creates the search for the endpoints of a pool.
 *
 * @param pool - Endpoints of all services.
 * @param mayServe - Whether a request may be sent to an endpoint.
 * @returns The search.
 */
export const createKeyAffinities = (pool: EndpointPool, mayServe: (endpoint: TrackedEndpoint, request: DispatchedRequest) => boolean): KeyAffinities => {
	const affinityEndpoints = createAffinityEndpoints(pool.version);
	const warmthByService = new Map<string, ServiceWarmth>();

	const warmthOf = (service: string): ServiceWarmth => {
		const warmth = warmthByService.get(service)
			?? {retention: createWarmthEstimate(initialRetention), overflow: createWarmthEstimate(initialOverflowWarmth)};
		warmthByService.set(service, warmth);
		return warmth;
	};

	return {
		of(request, region) {
			const {service} = request;
			const endpoints = pool.usable(service).get(region) ?? [];
			const key = keyOf(request);
			const [affinityEndpoint, overflowEndpoint] = key === undefined
				? []
				: affinityEndpoints.find({
					key, service, region, endpoints, mayServe: endpoint => mayServe(endpoint, request),
				});
			const canOverflow = warmthOf(service).retention.probability() >= minimumRetention;
			return {
				key, service, affinityEndpoint, overflowEndpoint: canOverflow ? overflowEndpoint : undefined, endpoints,
			};
		},
		warmProbability(endpoint, {key, service, affinityEndpoint, overflowEndpoint}) {
			if (endpoint === affinityEndpoint) {
				return affinityWarmProbability;
			}

			if (endpoint === overflowEndpoint) {
				return warmthOf(service).overflow.probability();
			}

			return key !== undefined && endpoint.recentKeys.has(key) ? recentKeyWarmProbability : 0;
		},
		recordProcessingTime({service, kind}, processingMs, warmMs, coldMs) {
			const {retention, overflow} = warmthOf(service);
			(kind === 'affinity' ? retention : overflow).record(processingMs, warmMs, coldMs);
		},
	};
};
