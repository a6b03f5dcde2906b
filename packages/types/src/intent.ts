/**
 * The operators' intent: the document that a configuration contains. Operators' programs print it,
 * and `@filbertwell/intent` validates it.
 */
import type {AvailabilityZoneName, Region, RegionName} from './place.js';

/** Priority of a request. Under overload, requests of the lowest class are shed first. */
export type RequestClass = 'critical' | 'interactive' | 'background';

/** Request classes, highest priority first. */
export const requestClasses: readonly RequestClass[] = ['critical', 'interactive', 'background'];

/** Whether a route's requests may be run more than once. */
export type RouteKind = 'idempotent' | 'atMostOnce';

/**
 * How at-most-once requests are handled while the table service is unavailable.
 * `refuse`: they are rejected as not run. `firstAttempt`: a request that its caller marks as
 * attempt 1 is dispatched without a claim; any other attempt is reported as in doubt.
 */
export type ClaimOutage = 'refuse' | 'firstAttempt';

/** A configured upstream process of a service. */
export type Endpoint = {
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneName;
	/** Number of requests that the endpoint runs concurrently. */
	readonly slots: number;
};

/** Policy for a set of a service's requests. The first matching route applies. */
export type Route = {
	readonly name: string;
	/** Upper-case HTTP methods; empty for any. */
	readonly methods: readonly string[];
	/** Path prefix relative to the service's prefix, starting with a slash. */
	readonly pathPrefix: string;
	readonly requestClass: RequestClass;
	readonly kind: RouteKind;
	/** Default deadline in milliseconds, for requests without a deadline header. */
	readonly deadlineMs: number;
	/** Whether a hedged attempt may start once a request takes longer than its class's 95th percentile. */
	readonly hedge: boolean;
	readonly claimOutage: ClaimOutage;
};

/** A service, selected by the path prefix or the Host header of a request. */
export type Service = {
	readonly name: string;
	/** First path segment, starting with a slash; removed before the request is forwarded. */
	readonly pathPrefix: string;
	/** Values of the Host header that select the service if no path prefix matches. */
	readonly hosts: readonly string[];
	readonly endpoints: readonly Endpoint[];
	readonly routes: readonly Route[];
	/** Maximum size of a request body in bytes. */
	readonly maximumBodyBytes: number;
};

/** Limit on the share of a service's traffic that a region receives. */
export type RegionShare = {
	readonly region: RegionName;
	/** Name of the service, or `*` for all services. */
	readonly service: string;
	/** From 0 to 1. */
	readonly maximumShare: number;
};

/** Bandwidth that the system may use between two regions, in each direction. */
export type LinkCap = {
	readonly between: readonly [RegionName, RegionName];
	readonly megabitsPerSecond: number;
};

/** Limits on the rate of traffic shifts, as a fraction of a service's traffic per minute. */
export type ShiftCaps = {
	/** For shifts that operators plan: drains, undrains and changed shares. */
	readonly plannedSharePerMinute: number;
	/** For shifts away from a failed availability zone. */
	readonly failoverSharePerMinute: number;
};

/** Kind of the location or process that a drain removes from traffic. */
export type DrainTarget = 'endpoint' | 'availabilityZone' | 'region' | 'entry';

/** `capped`: traffic moves away under the shift cap. `immediate`: no new requests arrive after at most 3 s. */
export type DrainPace = 'capped' | 'immediate';

/** A planned removal of an endpoint, an availability zone, a region or an entry from traffic. */
export type Drain = {
	readonly target: DrainTarget;
	/** Id of the endpoint or entry, or name of the availability zone or region. */
	readonly name: string;
	readonly pace: DrainPace;
	readonly reason: string;
};

/** An operator's request to send a share of a service's traffic to a region. */
export type Shift = {
	readonly service: string;
	readonly region: RegionName;
	/** Target share of the service's traffic in the region, from 0 to 1. */
	readonly share: number;
};

/** A group of entries in an availability zone that look-ups direct callers to. */
export type Site = {
	readonly name: string;
	readonly availabilityZone: AvailabilityZoneName;
};

/** Assigns callers whose addresses are in a prefix to a site preference. */
export type ClientBlock = {
	/** CIDR prefix, IPv4 or IPv6. */
	readonly prefix: string;
	/** Name of a preference in `Intent.sitePreferences`. */
	readonly preference: string;
};

/** A named list of sites in the order in which callers should use them. */
export type SitePreference = {
	readonly name: string;
	readonly sites: readonly string[];
};

/** Settings of look-up responses. */
export type LookupPolicy = {
	/** Time for which callers may cache a response, in seconds. */
	readonly lifetimeSeconds: number;
	/** Number of entry addresses in a response. */
	readonly addresses: number;
	/** Name of the site preference for callers outside all client blocks. */
	readonly defaultPreference: string;
};

/** Weight of a tenant for fair queueing when endpoints are overloaded. */
export type Tenant = {
	readonly name: string;
	readonly weight: number;
};

/** Complete intent of a deployment. */
export type Intent = {
	readonly deployment: string;
	readonly regions: readonly Region[];
	readonly services: readonly Service[];
	readonly regionShares: readonly RegionShare[];
	readonly linkCaps: readonly LinkCap[];
	readonly shiftCaps: ShiftCaps;
	readonly drains: readonly Drain[];
	readonly shifts: readonly Shift[];
	readonly sites: readonly Site[];
	readonly sitePreferences: readonly SitePreference[];
	readonly clientBlocks: readonly ClientBlock[];
	readonly lookups: LookupPolicy;
	readonly tenants: readonly Tenant[];
};
