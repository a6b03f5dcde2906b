/**
 * What operators want of traffic on a deployment whose endpoints register themselves: routes, the
 * services that they go to, and limits on callers.
 */
import type {RouteKind} from './intent.js';
import type {RegionName} from './place.js';

/** A service that takes a share of a route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Relative to the other services of the route. */
	readonly weight: number;
};

/** A route: callers' requests for one host below one path prefix. */
export type PlannedRoute = {
	readonly name: string;
	/** Value of the Host header, in lower case. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** At least one; with several, requests are divided by weight. */
	readonly services: readonly WeightedService[];
	readonly kind: RouteKind;
	/** Longest time that a caller waits, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer has its full value, in milliseconds. */
	readonly latencyTargetMs: number;
	/** Most endpoints that one request is sent to. */
	readonly maximumAttempts: number;
	/** Rank among routes; 0 is the most urgent. */
	readonly priority: number;
	/** Whether an endpoint that has handled an affinity key is faster for it. */
	readonly isSticky: boolean;
	/** Regions that may serve it; empty for all. */
	readonly allowedRegions: readonly RegionName[];
};

/** A service as the plan describes it; its endpoints are discovered. */
export type PlannedService = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that each endpoint takes from all instances together. */
	readonly maximumConnections: number;
	/** Requests a second that an endpoint bears while it is cold, from all instances together. */
	readonly coldRequestsPerSecond: number;
};

/** What callers may send and how long they may take. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	/** Time to send a request's header block, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time that an unused connection is kept, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** One version of what operators want. */
export type TrafficPlan = {
	/** Rises from version to version, in uneven steps. */
	readonly version: number;
	readonly routes: readonly PlannedRoute[];
	readonly services: ReadonlyMap<string, PlannedService>;
	readonly limits: CallerLimits;
};
