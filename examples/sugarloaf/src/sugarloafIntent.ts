/**
 * Intent of the example deployment Sugarloaf Bakers' Co-operative: six availability zones in three regions, connected
 * by links of high capacity, and four services that families and bakers use from their phones.
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

const regions = [
	region('north', ['north-a', 'north-b']),
	region('centre', ['centre-a', 'centre-b']),
	region('coast', ['coast-a', 'coast-b']),
];
const zones = regions.flatMap(({availabilityZones}) => availabilityZones);
const linkMegabitsPerSecond = 4000;
const endpointsPerService = 12;
const minimumSlots = 3;
const distinctSlotCounts = 3;

const routesByService: ReadonlyMap<string, readonly Route[]> = new Map([
	['designs', [
		idempotentRoute({name: 'browse', deadlineMs: 800}),
		idempotentRoute({
			name: 'publish-design', methods: ['PUT'], requestClass: 'background', deadlineMs: 20_000, hedge: false,
		}),
	]],
	['deposits', [
		atMostOnceRoute({name: 'pay-deposit', methods: ['POST'], deadlineMs: 5000}),
		idempotentRoute({name: 'deposit-status'}),
	]],
	['checkout', [
		atMostOnceRoute({name: 'place-order', methods: ['POST'], deadlineMs: 5000}),
		idempotentRoute({name: 'basket'}),
	]],
	['calendar', [
		atMostOnceRoute({name: 'confirm-work', pathPrefix: '/confirmations', deadlineMs: 5000}),
		idempotentRoute({name: 'open-dates', deadlineMs: 800}),
	]],
]);

/** Creates a service's endpoints, assigned to the zones in rotation, with 3, 4 and 5 slots in rotation. */
const createEndpoints = (name: string, {host, basePort}: Placement): Endpoint[] => Array.from({length: endpointsPerService}, (_, index) => endpoint({
	id: `${name}-${String(index + 1).padStart(2, '0')}`,
	host,
	port: basePort + index,
	availabilityZone: zones[index % zones.length]!,
	slots: minimumSlots + (index % distinctSlotCounts),
}));

/**
 * Creates the intent of the Sugarloaf deployment.
 *
 * @param placement - Host and first port of the endpoints.
 * @returns The intent, with 48 endpoints at consecutive ports.
 */
export const sugarloafIntent = ({host, basePort}: Placement): Intent => intent({
	deployment: 'sugarloaf',
	regions,
	services: [...routesByService].map(([name, routes], index) => service({
		name,
		endpoints: createEndpoints(name, {host, basePort: basePort + (index * endpointsPerService)}),
		routes,
	})),
	regionShares: regions.map(({name}) => regionShare(name, 0.6)),
	linkCaps: [
		linkCap('north', 'centre', linkMegabitsPerSecond),
		linkCap('centre', 'coast', linkMegabitsPerSecond),
		linkCap('north', 'coast', linkMegabitsPerSecond),
	],
	shiftCaps: {plannedSharePerMinute: 0.3, failoverSharePerMinute: 3},
	sitePreferences: [
		sitePreference('from-north-a', ['north-a', 'north-b', 'centre-a', 'centre-b']),
		sitePreference('from-centre-a', ['centre-a', 'centre-b', 'north-a', 'north-b']),
		sitePreference('from-coast-a', ['coast-a', 'coast-b', 'centre-a', 'centre-b']),
		sitePreference('from-north-b', ['north-b', 'north-a', 'centre-b', 'centre-a']),
		sitePreference('from-centre-b', ['centre-b', 'centre-a', 'north-b', 'north-a']),
		sitePreference('from-coast-b', ['coast-b', 'coast-a', 'centre-b', 'centre-a']),
	],
	// Loopback networks that stand in for those of families and bakers.
	clientBlocks: [
		clientBlock('127.0.0.0/16', 'from-north-a'),
		clientBlock('127.1.0.0/16', 'from-centre-a'),
		clientBlock('127.2.0.0/16', 'from-coast-a'),
		clientBlock('127.3.0.0/16', 'from-north-b'),
		clientBlock('127.4.0.0/16', 'from-centre-b'),
		clientBlock('127.5.0.0/16', 'from-coast-b'),
		clientBlock('127.2.128.0/17', 'from-centre-a'),
	],
	lookups: {lifetimeSeconds: 5, addresses: 3, defaultPreference: 'from-north-a'},
	tenants: [tenant('families', 3), tenant('bakers', 2), tenant('partners')],
});
