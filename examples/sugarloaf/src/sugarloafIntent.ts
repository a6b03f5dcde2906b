/**
 * Builds the intent of the Sugarloaf Bakers' Co-operative: six availability zones in three regions
 * joined by wide links, and four services that families and bakers use from their phones.
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

/** Where the endpoints listen: all on one host, at ports from the base on. */
export type Placement = {
	readonly host: string;
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
const slotSizes = 3;

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

/** Spreads a service's endpoints over the zones in turn, with 3, 4 and 5 slots in turn. */
const placeEndpoints = (name: string, {host, basePort}: Placement): Endpoint[] => Array.from({length: endpointsPerService}, (_, index) => endpoint({
	id: `${name}-${String(index + 1).padStart(2, '0')}`,
	host,
	port: basePort + index,
	availabilityZone: zones[index % zones.length]!,
	slots: minimumSlots + (index % slotSizes),
}));

/**
 * Builds Sugarloaf's intent.
 *
 * @param placement - Where the endpoints listen.
 * @returns The intent, with 48 endpoints on as many consecutive ports.
 */
export const sugarloafIntent = ({host, basePort}: Placement): Intent => intent({
	deployment: 'sugarloaf',
	regions,
	services: [...routesByService].map(([name, routes], index) => service({
		name,
		endpoints: placeEndpoints(name, {host, basePort: basePort + (index * endpointsPerService)}),
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
	// Families and bakers call from these networks; loopback stands in for them.
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
