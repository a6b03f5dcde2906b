/**
 * Builder functions for operators' programs that generate an intent. They fill in default values,
 * so that a program states only what is specific to its deployment.
 */
import type {
	ClientBlock, Drain, Endpoint, Intent, LinkCap, RegionShare, Route, Service, Shift, Site, SitePreference, Tenant,
} from '@filbertwell/types/intent';
import type {Region} from '@filbertwell/types/place';

const defaultDeadlineMs = 2000;
const defaultMaximumBodyBytes = 1_048_576;

/**
 * Builds a region.
 *
 * @param name - Name of the region.
 * @param availabilityZones - Names of its availability zones.
 * @returns The region.
 */
export const region = (name: string, availabilityZones: readonly string[]): Region => ({name, availabilityZones});

/** Name of a route, and the fields that override the defaults. */
export type RouteDetails = Partial<Route> & Pick<Route, 'name'>;

/**
 * Builds a route for requests that may run more than once. By default it matches GET and HEAD requests
 * of the interactive class, with a deadline of 2 s and hedging.
 *
 * @param details - Name of the route, and the fields that override the defaults.
 * @returns The route.
 */
export const idempotentRoute = (details: RouteDetails): Route => ({
	methods: ['GET', 'HEAD'],
	pathPrefix: '/',
	requestClass: 'interactive',
	kind: 'idempotent',
	deadlineMs: defaultDeadlineMs,
	hedge: true,
	claimOutage: 'refuse',
	...details,
});

/**
 * Builds a route for requests that run at most once. By default it matches POST, PUT, PATCH and DELETE
 * requests of the critical class, with a deadline of 2 s and no hedging.
 *
 * @param details - Name of the route, and the fields that override the defaults.
 * @returns The route.
 */
export const atMostOnceRoute = (details: RouteDetails): Route => ({
	methods: ['POST', 'PUT', 'PATCH', 'DELETE'],
	pathPrefix: '/',
	requestClass: 'critical',
	kind: 'atMostOnce',
	deadlineMs: defaultDeadlineMs,
	hedge: false,
	claimOutage: 'refuse',
	...details,
});

/** Name, endpoints and routes of a service, and the fields that override the defaults. */
export type ServiceDetails = Partial<Service> & Pick<Service, 'name' | 'endpoints' | 'routes'>;

/**
 * Builds a service. By default its path prefix is `/` followed by its name, and its request bodies have at most 1 MiB.
 *
 * @param details - Name, endpoints and routes of the service, and the fields that override the defaults.
 * @returns The service.
 */
export const service = (details: ServiceDetails): Service => ({
	pathPrefix: `/${details.name}`,
	hosts: [],
	maximumBodyBytes: defaultMaximumBodyBytes,
	...details,
});

/** Returns an endpoint as given: all of its fields are required. */
export const endpoint = (details: Endpoint): Endpoint => details;

/**
 * Builds a drain.
 *
 * @param target - Kind of the drain's target.
 * @param name - Name of the endpoint, availability zone, region or entry to drain.
 * @param reason - Reason for the drain, kept in the configuration history.
 * @param pace - Whether traffic leaves under the shift cap (`capped`, the default) or at once.
 * @returns The drain.
 */
export const drain = (target: Drain['target'], name: string, reason: string, pace: Drain['pace'] = 'capped'): Drain => ({
	target, name, pace, reason,
});

/** Builds a shift, which sends a share of a service's traffic, from 0 to 1, to a region. */
export const shift = (serviceName: string, regionName: string, share: number): Shift => ({service: serviceName, region: regionName, share});

/** Builds a cap on the traffic between two regions, in megabits per second in each direction. */
export const linkCap = (from: string, to: string, megabitsPerSecond: number): LinkCap => ({between: [from, to], megabitsPerSecond});

/** Builds a limit, from 0 to 1, on the share of a service's traffic that a region may take; `*`, the default, stands for all services. */
export const regionShare = (regionName: string, maximumShare: number, serviceName = '*'): RegionShare => ({region: regionName, service: serviceName, maximumShare});

/** Builds a site in an availability zone; its name is the zone's by default. */
export const site = (availabilityZone: string, name = availabilityZone): Site => ({name, availabilityZone});

/** Builds a site preference; the preferred site comes first. */
export const sitePreference = (name: string, sites: readonly string[]): SitePreference => ({name, sites});

/** Builds a client block, which assigns a site preference to callers with addresses in a CIDR prefix. */
export const clientBlock = (prefix: string, preference: string): ClientBlock => ({prefix, preference});

/** Builds a tenant. Contended endpoints are shared in proportion to the weights. */
export const tenant = (name: string, weight = 1): Tenant => ({name, weight});

/** Required fields of an intent, and the fields that override the defaults. */
export type IntentDetails = Partial<Intent> & Pick<Intent, 'deployment' | 'regions' | 'services' | 'sitePreferences'>;

/**
 * Builds an intent. By default each availability zone is a site, and callers outside all client blocks
 * get the first site preference.
 *
 * @param details - Deployment, regions, services and site preferences, and the fields that override the defaults.
 * @returns The intent, not validated; use `checkIntent` for that.
 */
export const intent = (details: IntentDetails): Intent => ({
	regionShares: [],
	linkCaps: [],
	shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
	drains: [],
	shifts: [],
	sites: details.regions.flatMap(({availabilityZones}) => availabilityZones.map(availabilityZone => site(availabilityZone))),
	clientBlocks: [],
	lookups: {lifetimeSeconds: 5, addresses: 3, defaultPreference: details.sitePreferences[0]?.name ?? ''},
	tenants: [],
	...details,
});
