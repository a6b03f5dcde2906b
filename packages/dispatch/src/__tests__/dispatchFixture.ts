/**
 * Sample routes and registered endpoints for tests.
 */
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {DiscoveredEndpoint} from '@filbertwell/types/discoveredEndpoint';
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';

export const sampleRoute: PlannedRoute = {
	name: 'stock',
	host: 'shop.example',
	pathPrefix: '/stock/',
	services: [{service: 'inventory', weight: 1}],
	kind: 'idempotent',
	timeoutMs: 1200,
	latencyTargetMs: 600,
	maximumAttempts: 2,
	priority: 1,
	isSticky: true,
	allowedRegions: [],
};

export const sampleEndpoint = (id: string, overrides: Partial<DiscoveredEndpoint> = {}): DiscoveredEndpoint => ({
	id, startedAtUnixMs: 1, sequence: 1, service: 'inventory', host: '127.0.0.1', port: 8080, availabilityZone: 'south-a', slots: 4, state: 'ready', coldForMs: 0, ...overrides,
});

export const registered = (endpoint: DiscoveredEndpoint, coldUntilMs = 0): RegisteredEndpoint => ({endpoint, firstSeenAtMs: 0, coldUntilMs});

export const registeredById = (endpoints: readonly DiscoveredEndpoint[]): ReadonlyMap<string, RegisteredEndpoint> => new Map(endpoints.map(endpoint => [endpoint.id, registered(endpoint)]));
