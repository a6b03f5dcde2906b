/**
 * Traffic plan of a deployment whose endpoints register themselves: routes, the services they
 * lead to, and limits on callers.
 */
import type {RouteKind} from './intent.js';
import type {RegionName} from './place.js';

/** A service that receives a share of a route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Relative to the other services of the route. */
	readonly weight: number;
};

/** A route for requests to one host below one path prefix. */
export type PlannedRoute = {
	readonly name: string;
	/** Value of the Host header, in lower case. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** At least one; requests are divided among several by weight. */
	readonly services: readonly WeightedService[];
	readonly kind: RouteKind;
	/** Time after which callers stop waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Target latency in milliseconds; slower responses are worth less to the caller. */
	readonly latencyTargetMs: number;
	/** Maximum number of endpoints that one request is sent to. */
	readonly maximumAttempts: number;
	/** Rank among routes; 0 is the most urgent. */
	readonly priority: number;
	/** Whether the service benefits from cache affinity: an endpoint that has handled an affinity key handles it faster. */
	readonly isSticky: boolean;
	/** Regions that may serve the route; empty for all. */
	readonly allowedRegions: readonly RegionName[];
};

/** A service of the plan; its endpoints register themselves. */
export type PlannedService = {
	readonly name: string;
	/** Path of the endpoints' health checks. */
	readonly healthPath: string;
	/** Maximum number of connections to each endpoint from all instances together. */
	readonly maximumConnections: number;
	/** Requests per second that a cold endpoint can handle from all instances together. */
	readonly coldRequestsPerSecond: number;
};

/** Limits on the size and the duration of callers' requests. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	/** Time limit for receiving a request's headers, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** One version of the traffic plan. */
export type TrafficPlan = {
	/** Increases with each change, not necessarily by one. */
	readonly version: number;
	readonly routes: readonly PlannedRoute[];
	/** Services by name. */
	readonly services: ReadonlyMap<string, PlannedService>;
	readonly limits: CallerLimits;
	/** Kinds of routes that this version of the program does not know; their requests run once at most. */
	readonly unknownRouteKinds: readonly string[];
};
