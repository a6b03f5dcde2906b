/**
 * Creates a small intent for experiments on the configuration.
 */
import type {ClientBlock, Intent} from '@filbertwell/types/intent';

/**
 * Creates client blocks.
 *
 * @param count - Number of blocks, up to 16 million.
 * @param preferences - Names of site preferences, assigned to the blocks in rotation.
 * @returns Blocks with distinct IPv4 prefixes.
 */
export const createBlocks = (count: number, preferences: readonly string[]): ClientBlock[] => Array.from({length: count}, (_, index) => ({
	prefix: `${10 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`,
	preference: preferences[index % preferences.length]!,
}));

const createEndpoint = (number: number) => ({
	id: `orders-${number}`, host: '127.0.0.1', port: 9000 + number, availabilityZone: 'south-a', slots: 3,
});

/**
 * Creates a small intent with one drain. Two such intents differ only in the reason of the drain.
 *
 * @param reason - Reason of the drain.
 * @returns A valid intent.
 */
export const createSmallIntent = (reason: string): Intent => ({
	deployment: 'experiment',
	regions: [{name: 'south', availabilityZones: ['south-a', 'south-b']}],
	services: [{
		name: 'orders',
		pathPrefix: '/orders',
		hosts: [],
		endpoints: [createEndpoint(1), createEndpoint(2)],
		routes: [{
			name: 'all',
			methods: [],
			pathPrefix: '/',
			requestClass: 'interactive',
			kind: 'idempotent',
			deadlineMs: 1000,
			hedge: false,
			claimOutage: 'refuse',
		}],
		maximumBodyBytes: 1000,
	}],
	regionShares: [],
	linkCaps: [],
	shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
	drains: [{
		target: 'endpoint', name: 'orders-1', pace: 'capped', reason,
	}],
	shifts: [],
	sites: [{name: 'site-1', availabilityZone: 'south-a'}],
	sitePreferences: [{name: 'near', sites: ['site-1']}],
	clientBlocks: createBlocks(10, ['near']),
	lookups: {lifetimeSeconds: 5, addresses: 2, defaultPreference: 'near'},
	tenants: [],
});
