/**
 * Sizes, configuration and members of a deployment at the target scale.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {
	ClientBlock, Intent, Service, SitePreference,
} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import type {Random} from '@filbertwell/utils/random';

/** Sizes and limits of the target scale. */
export const targetSizes = {
	nodes: 890,
	blocks: 320_000,
	sites: 200,
	regions: 11,
	availabilityZones: 24,
	lookupsPerSecond: 370_000,
	changesPerDay: 880,
	/** Look-ups a second that each node answers. */
	lookupsPerSecondOfNode: 416,
	controlMegabytes: 32,
	controlBytesPerSecond: 2048,
	controlCoreShare: 0.013,
	inForceSeconds: 9,
} as const;

const preferenceCount = 1000;
const sitesPerPreference = 8;
const ipv6Share = 0.2;

const zoneName = (zone: number): string => `zone-${zone}`;
const regionName = (zone: number): string => `region-${zone % targetSizes.regions}`;
const siteName = (site: number): string => `site-${site}`;
const zoneOfSite = (site: number): number => site % targetSizes.availabilityZones;

/** Prefix of the block with an index. The first IPv4 block of every 256 is a /16 that contains the next 255 blocks. */
const blockPrefix = (index: number, ipv4Count: number): string => {
	if (index >= ipv4Count) {
		const number = index - ipv4Count;
		return `2001:${(1 + (number % 65_535)).toString(16)}:${(1 + Math.floor(number / 65_535)).toString(16)}::/48`;
	}

	const network = `${1 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}`;
	return index % 256 === 0 ? `${network}.0/16` : `${network}.0/24`;
};

/**
 * Creates client blocks.
 *
 * @param count - Number of blocks, a fifth of them IPv6.
 * @param random - Chooses the preferences.
 * @returns The blocks: IPv4 before IPv6, each in address order.
 */
export const createBlocks = (count: number, random: Random): ClientBlock[] => {
	const ipv4Count = Math.floor(count * (1 - ipv6Share));
	return Array.from({length: count}, (_, index) => ({
		prefix: blockPrefix(index, ipv4Count),
		preference: `preference-${Math.floor(random() * preferenceCount)}`,
	}));
};

const createPreferences = (random: Random): SitePreference[] => Array.from({length: preferenceCount}, (_, index) => ({
	name: `preference-${index}`,
	sites: [...new Set(Array.from({length: sitesPerPreference}, () => siteName(Math.floor(random() * targetSizes.sites))))],
}));

const createService = (): Service => ({
	name: 'catalogue',
	pathPrefix: '/catalogue',
	hosts: [],
	endpoints: Array.from({length: targetSizes.availabilityZones}, (_, zone) => ({
		id: `endpoint-${zone}`, host: '127.0.0.1', port: 9000 + zone, availabilityZone: zoneName(zone), slots: 4,
	})),
	routes: [{
		name: 'all', methods: [], pathPrefix: '/', requestClass: 'interactive', kind: 'idempotent', deadlineMs: 1000, hedge: false, claimOutage: 'refuse',
	}],
	maximumBodyBytes: 1_048_576,
});

/**
 * Creates an accepted configuration at the target scale.
 *
 * @param random - Chooses the sites of the preferences.
 * @param blocks - Client blocks of the configuration.
 * @param version - Version of the configuration.
 * @returns The configuration, with one service.
 */
export const createTargetConfiguration = (random: Random, blocks: readonly ClientBlock[], version = 1): Configuration => {
	const zones = Array.from({length: targetSizes.availabilityZones}, (_, zone) => zone);
	const intent: Intent = {
		deployment: 'target',
		regions: Array.from({length: targetSizes.regions}, (_, region) => ({
			name: regionName(region),
			availabilityZones: zones.filter(zone => regionName(zone) === regionName(region)).map(zone => zoneName(zone)),
		})),
		services: [createService()],
		regionShares: [],
		linkCaps: [],
		shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
		drains: [],
		shifts: [],
		sites: Array.from({length: targetSizes.sites}, (_, site) => ({name: siteName(site), availabilityZone: zoneName(zoneOfSite(site))})),
		sitePreferences: createPreferences(random),
		clientBlocks: blocks,
		lookups: {lifetimeSeconds: 30, addresses: 3, defaultPreference: 'preference-0'},
		tenants: [],
	};
	return {
		version, changeId: `change-${version}`, author: 'measure', acceptedAt: '2026-01-01T00:00:00Z', intent,
	};
};

/**
 * Creates members that are distributed evenly over the sites.
 *
 * @param count - Number of members.
 * @returns Serving entries, ordered by id.
 */
export const createMembers = (count: number): Member[] => Array.from({length: count}, (_, index): Member => {
	const site = index % targetSizes.sites;
	const zone = zoneOfSite(site);
	return {
		id: `entry-${String(index).padStart(4, '0')}`,
		role: 'entry',
		incarnation: 1,
		region: regionName(zone),
		availabilityZone: zoneName(zone),
		site: siteName(site),
		callerAddress: {host: `127.${Math.floor(index / 250)}.0.${1 + (index % 250)}`, port: 8080},
		peerAddress: {host: `127.${Math.floor(index / 250)}.0.${1 + (index % 250)}`, port: 8081},
		state: 'serving',
		health: 'alive',
		configurationVersion: 1,
		load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
	};
});
