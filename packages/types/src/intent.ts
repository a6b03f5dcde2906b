/**
 * The operators' intent: the document that a configuration carries.
 * Printed by the operators' programs, checked by `@filbertwell/intent`.
 */
import type {AvailabilityZoneName, Region, RegionName} from './place.js';

/** Priority of a request. Under overload the last class is refused first. */
export type RequestClass = 'critical' | 'interactive' | 'background';

/** Request classes, highest priority first. */
export const requestClasses: readonly RequestClass[] = ['critical', 'interactive', 'background'];

/** Whether a route's requests may run more than once. */
export type RouteKind = 'idempotent' | 'atMostOnce';

/**
 * What happens to at-most-once requests while the table service is unavailable.
 * `refuse`: refused as not run. `firstAttempt`: a request that its caller numbers as
 * attempt 1 is dispatched without a claim; any other attempt is answered in doubt.
 */
export type ClaimOutage = 'refuse' | 'firstAttempt';

/** An upstream process that serves a service. */
export type Endpoint = {
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneName;
	/** Requests that the endpoint runs at once. */
	readonly slots: number;
};

/** A set of requests of a service that are treated alike. The first matching route wins. */
export type Route = {
	readonly name: string;
	/** Upper-case HTTP methods; empty for any. */
	readonly methods: readonly string[];
	/** Path prefix below the service's own prefix, starting with a slash. */
	readonly pathPrefix: string;
	readonly requestClass: RequestClass;
	readonly kind: RouteKind;
	/** Deadline for requests that bring none, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether a second attempt may start past the class's 95th percentile. */
	readonly hedge: boolean;
	readonly claimOutage: ClaimOutage;
};

/** A service that callers reach by path prefix or by Host. */
export type Service = {
	readonly name: string;
	/** First path segment, starting with a slash; it is removed before the request goes upstream. */
	readonly pathPrefix: string;
	/** Host header values that select the service without a prefix. */
	readonly hosts: readonly string[];
	readonly endpoints: readonly Endpoint[];
	readonly routes: readonly Route[];
	/** Largest request body in bytes. */
	readonly maximumBodyBytes: number;
};

/** The largest share of a service's traffic that a region may take, from 0 to 1. */
export type RegionShare = {
	readonly region: RegionName;
	/** Service name, or `*` for all. */
	readonly service: string;
	readonly maximumShare: number;
};

/** Capacity that the system may use between two regions, each way. */
export type LinkCap = {
	readonly between: readonly [RegionName, RegionName];
	readonly megabitsPerSecond: number;
};

/** How fast traffic may move, as a fraction of a service's traffic in a minute. */
export type ShiftCaps = {
	/** Moves that operators plan: drains, undrains, changed shares. */
	readonly plannedSharePerMinute: number;
	/** Moves away from a place that has failed. */
	readonly failoverSharePerMinute: number;
};

/** What a drain empties. */
export type DrainTarget = 'endpoint' | 'availabilityZone' | 'region' | 'entry';

/** `capped`: traffic leaves under the shift cap. `immediate`: no new work within 3 s. */
export type DrainPace = 'capped' | 'immediate';

/** A planned emptying of one place. */
export type Drain = {
	readonly target: DrainTarget;
	/** Endpoint id, availability zone, region or entry id. */
	readonly name: string;
	readonly pace: DrainPace;
	readonly reason: string;
};

/** An operator's wish to send part of a service's traffic to a region. */
export type Shift = {
	readonly service: string;
	readonly region: RegionName;
	/** Share of the service's traffic that the region is to take, from 0 to 1. */
	readonly share: number;
};

/** A group of entries that look-ups send callers to. */
export type Site = {
	readonly name: string;
	readonly availabilityZone: AvailabilityZoneName;
};

/** Callers with addresses in a prefix and the sites that are near them. */
export type ClientBlock = {
	/** CIDR prefix, IPv4 or IPv6. */
	readonly prefix: string;
	/** Name of a preference in `Intent.sitePreferences`. */
	readonly preference: string;
};

/** Sites in the order in which callers should use them. */
export type SitePreference = {
	readonly name: string;
	readonly sites: readonly string[];
};

/** How look-ups are answered. */
export type LookupPolicy = {
	/** Lifetime of an answer in seconds. */
	readonly lifetimeSeconds: number;
	/** Number of entry addresses in an answer. */
	readonly addresses: number;
	/** Preference for callers outside all blocks. */
	readonly defaultPreference: string;
};

/** A tenant's weight when endpoints are contended. */
export type Tenant = {
	readonly name: string;
	readonly weight: number;
};

/** The whole intent of a deployment. */
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
