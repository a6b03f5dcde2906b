/**
 * Intent of the example deployment Rodalar Componentes: six availability zones in three regions, connected by links
 * of low capacity, and four services.
 */
import {
	atMostOnceRoute,
	clientBlock,
	endpoint,
	idempotentRoute,
	intent,
	linkCap,
	region,
	regionShare,
	service,
	sitePreference,
	tenant,
} from '@filbertwell/intent/buildIntent';
import type {Endpoint, Intent, Route} from '@filbertwell/types/intent';

/** Addresses of the endpoints, which all listen on one host at consecutive ports. */
export type Placement = {
	readonly host: string;
	/** Port of the first endpoint. */
	readonly basePort: number;
};

type ServiceDefinition = {
	readonly name: string;
	/** Number of endpoints. */
	readonly endpoints: number;
	readonly routes: readonly Route[];
};

const regions = [
	region('south', ['south-a', 'south-b']),
	region('southeast', ['southeast-a', 'southeast-b']),
	region('northeast', ['northeast-a', 'northeast-b']),
];
const zones = regions.flatMap(({availabilityZones}) => availabilityZones);
const linkMegabitsPerSecond = 300;
const minimumSlots = 3;

const serviceDefinitions: readonly ServiceDefinition[] = [
	{
		name: 'inventory',
		endpoints: 13,
		routes: [
			idempotentRoute({name: 'stock-check', deadlineMs: 1000}),
			idempotentRoute({
				name: 'stock-count', methods: ['PUT'], requestClass: 'background', deadlineMs: 10_000, hedge: false,
			}),
		],
	},
	{
		name: 'freight',
		endpoints: 12,
		routes: [
			atMostOnceRoute({name: 'pickup-booking', pathPrefix: '/pickups', deadlineMs: 5000}),
			idempotentRoute({name: 'pickup-status'}),
		],
	},
	{
		name: 'orders',
		endpoints: 14,
		routes: [
			atMostOnceRoute({
				name: 'place-order', methods: ['POST'], deadlineMs: 5000,
			}),
			idempotentRoute({name: 'order-status'}),
		],
	},
	{
		name: 'catalogue',
		endpoints: 12,
		routes: [
			idempotentRoute({
				name: 'export', pathPrefix: '/export', requestClass: 'background', deadlineMs: 30_000, hedge: false,
			}),
			idempotentRoute({name: 'browse', deadlineMs: 1000}),
		],
	},
];

/** Creates a service's endpoints, assigned to the zones in rotation and alternating between 3 and 4 slots. */
const createEndpoints = ({name, endpoints}: ServiceDefinition, {host, basePort}: Placement): Endpoint[] => Array.from({length: endpoints}, (_, index) => endpoint({
	id: `${name}-${String(index + 1).padStart(2, '0')}`,
	host,
	port: basePort + index,
	availabilityZone: zones[index % zones.length]!,
	slots: minimumSlots + (index % 2),
}));

const createServices = ({host, basePort}: Placement) => {
	let nextPort = basePort;
	return serviceDefinitions.map(definition => {
		const endpoints = createEndpoints(definition, {host, basePort: nextPort});
		nextPort += definition.endpoints;
		return service({name: definition.name, endpoints, routes: definition.routes});
	});
};

/**
 * Creates the intent of the Rodalar deployment.
 *
 * @param placement - Host and first port of the endpoints.
 * @returns The intent, with 51 endpoints at consecutive ports.
 */
export const rodalarIntent = (placement: Placement): Intent => intent({
	deployment: 'rodalar',
	regions,
	services: createServices(placement),
	regionShares: regions.map(({name}) => regionShare(name, 0.6)),
	linkCaps: [
		linkCap('south', 'southeast', linkMegabitsPerSecond),
		linkCap('southeast', 'northeast', linkMegabitsPerSecond),
		linkCap('south', 'northeast', linkMegabitsPerSecond),
	],
	shiftCaps: {plannedSharePerMinute: 0.2, failoverSharePerMinute: 2},
	sitePreferences: [
		sitePreference('from-south-a', ['south-a', 'south-b', 'southeast-a', 'southeast-b']),
		sitePreference('from-southeast-a', ['southeast-a', 'southeast-b', 'south-a', 'south-b']),
		sitePreference('from-northeast-a', ['northeast-a', 'northeast-b', 'southeast-a', 'southeast-b']),
		sitePreference('from-south-b', ['south-b', 'south-a', 'southeast-b', 'southeast-a']),
		sitePreference('from-southeast-b', ['southeast-b', 'southeast-a', 'south-b', 'south-a']),
		sitePreference('from-northeast-b', ['northeast-b', 'northeast-a', 'southeast-b', 'southeast-a']),
	],
	// Loopback networks that stand in for those of the factory and the supermarket chains.
	clientBlocks: [
		clientBlock('127.0.0.0/16', 'from-south-a'),
		clientBlock('127.1.0.0/16', 'from-southeast-a'),
		clientBlock('127.2.0.0/16', 'from-northeast-a'),
		clientBlock('127.3.0.0/16', 'from-south-b'),
		clientBlock('127.4.0.0/16', 'from-southeast-b'),
		clientBlock('127.5.0.0/16', 'from-northeast-b'),
		clientBlock('127.2.128.0/17', 'from-southeast-a'),
	],
	lookups: {lifetimeSeconds: 5, addresses: 3, defaultPreference: 'from-south-a'},
	tenants: [tenant('supermarkets', 3), tenant('factory', 2), tenant('partners')],
});
