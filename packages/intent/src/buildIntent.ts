/**
 * Functions that operators build an intent from. Each fills in the usual values, so that a
 * program names only what is particular to its deployment.
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

/** What distinguishes a route; the rest has defaults. */
export type RouteDetails = Partial<Route> & Pick<Route, 'name'>;

/**
 * Builds a route of requests that may run more than once: reads by default, hedged.
 *
 * @param details - Name and whatever differs from the defaults.
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
 * Builds a route of requests that run at most once: writes of the critical class by default.
 *
 * @param details - Name and whatever differs from the defaults.
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

/** What distinguishes a service; the rest has defaults. */
export type ServiceDetails = Partial<Service> & Pick<Service, 'name' | 'endpoints' | 'routes'>;

/**
 * Builds a service, by default below the path prefix of its name.
 *
 * @param details - Name, endpoints, routes and whatever differs from the defaults.
 * @returns The service.
 */
export const service = (details: ServiceDetails): Service => ({
	pathPrefix: `/${details.name}`,
	hosts: [],
	maximumBodyBytes: defaultMaximumBodyBytes,
	...details,
});

/** Builds an endpoint. */
export const endpoint = (details: Endpoint): Endpoint => details;

/**
 * Builds a drain.
 *
 * @param target - What is emptied.
 * @param name - Its name.
 * @param reason - Why, for the history.
 * @param pace - `capped` by default.
 * @returns The drain.
 */
export const drain = (target: Drain['target'], name: string, reason: string, pace: Drain['pace'] = 'capped'): Drain => ({
	target, name, pace, reason,
});

/** Builds a shift of part of a service's traffic to a region; `share` from 0 to 1. */
export const shift = (serviceName: string, regionName: string, share: number): Shift => ({service: serviceName, region: regionName, share});

/** Builds a link cap between two regions, in megabits a second each way. */
export const linkCap = (from: string, to: string, megabitsPerSecond: number): LinkCap => ({between: [from, to], megabitsPerSecond});

/** Builds the largest share that a region may take of a service, or of all services. */
export const regionShare = (regionName: string, maximumShare: number, serviceName = '*'): RegionShare => ({region: regionName, service: serviceName, maximumShare});

/** Builds a site in an availability zone, by default of the same name. */
export const site = (availabilityZone: string, name = availabilityZone): Site => ({name, availabilityZone});

/** Builds a preference of sites, best first. */
export const sitePreference = (name: string, sites: readonly string[]): SitePreference => ({name, sites});

/** Builds a block of callers' addresses with its preference. */
export const clientBlock = (prefix: string, preference: string): ClientBlock => ({prefix, preference});

/** Builds a tenant; with equal weights all get equal shares of contended endpoints. */
export const tenant = (name: string, weight = 1): Tenant => ({name, weight});

/** What distinguishes an intent; the rest has defaults. */
export type IntentDetails = Partial<Intent> & Pick<Intent, 'deployment' | 'regions' | 'services' | 'sitePreferences'>;

/**
 * Builds an intent. By default each availability zone is a site, and callers outside all blocks get
 * the first preference.
 *
 * @param details - Deployment, regions, services, preferences and whatever differs from the defaults.
 * @returns The intent; check it with `checkIntent`.
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
