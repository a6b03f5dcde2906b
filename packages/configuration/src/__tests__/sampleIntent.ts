/**
 * Sample intents for tests.
 */
import type {ClientBlock, Intent} from '@filbertwell/types/intent';

/**
 * Creates client blocks.
 *
 * @param count - Number of blocks, up to 16 million.
 * @returns Blocks with distinct IPv4 prefixes.
 */
export const sampleBlocks = (count: number): ClientBlock[] => Array.from({length: count}, (_, index) => ({
	prefix: `${10 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`,
	preference: `preference-${index % 7}`,
}));

/** A valid intent with one service. */
export const sampleIntent: Intent = {
	deployment: 'test',
	regions: [{name: 'south', availabilityZones: ['south-a', 'south-b']}],
	services: [{
		name: 'orders',
		pathPrefix: '/orders',
		hosts: [],
		endpoints: ['orders-1', 'orders-2'].map((id, index) => ({
			id, host: '127.0.0.1', port: 9000 + index, availabilityZone: 'south-a', slots: 3,
		})),
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
	drains: [],
	shifts: [],
	sites: [{name: 'site-1', availabilityZone: 'south-a'}],
	sitePreferences: ['preference-0', 'preference-1', 'preference-2', 'preference-3', 'preference-4', 'preference-5', 'preference-6', 'other']
		.map(name => ({name, sites: ['site-1']})),
	clientBlocks: sampleBlocks(10),
	lookups: {lifetimeSeconds: 5, addresses: 2, defaultPreference: 'preference-0'},
	tenants: [],
};

/**
 * Creates an intent that differs from the sample in one drain.
 *
 * @param reason - Reason of the drain.
 * @returns The intent.
 */
export const drainedIntent = (reason: string): Intent => ({
	...sampleIntent,
	drains: [{
		target: 'endpoint', name: 'orders-1', pace: 'capped', reason,
	}],
});
