/**
 * Sample intent shared by the tests of this package.
 */
import type {Intent} from '@filbertwell/types/intent';
import {
	atMostOnceRoute, clientBlock, drain, endpoint, idempotentRoute, intent, linkCap, region, regionShare, service, sitePreference, tenant,
} from '../buildIntent.js';

/** Two regions with one availability zone each, two services, and at least one item in each list but `shifts`. */
export const sampleIntent: Intent = intent({
	deployment: 'sample',
	regions: [region('south', ['south-a']), region('north', ['north-a'])],
	services: [
		service({
			name: 'orders',
			hosts: ['orders.example'],
			endpoints: [
				endpoint({
					id: 'orders-1', host: '127.0.0.1', port: 9001, availabilityZone: 'south-a', slots: 3,
				}),
				endpoint({
					id: 'orders-2', host: '127.0.0.1', port: 9002, availabilityZone: 'north-a', slots: 4,
				}),
			],
			routes: [atMostOnceRoute({name: 'place'}), idempotentRoute({name: 'read'})],
		}),
		service({
			name: 'catalogue',
			endpoints: [
				endpoint({
					id: 'catalogue-1', host: '127.0.0.1', port: 9003, availabilityZone: 'south-a', slots: 3,
				}),
			],
			routes: [idempotentRoute({name: 'read'})],
		}),
	],
	regionShares: [regionShare('south', 0.7, 'orders'), regionShare('north', 0.6)],
	linkCaps: [linkCap('south', 'north', 300)],
	drains: [drain('endpoint', 'orders-2', 'maintenance')],
	sitePreferences: [sitePreference('from-south', ['south-a', 'north-a'])],
	clientBlocks: [clientBlock('10.1.0.0/16', 'from-south'), clientBlock('fd00::/48', 'from-south')],
	tenants: [tenant('shops', 2)],
});
