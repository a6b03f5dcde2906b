import {checkIntent} from '@filbertwell/intent/checkIntent';
import {expect, test} from 'vitest';
import {rodalarIntent} from '../rodalarIntent.js';

const intent = rodalarIntent({host: '127.0.0.1', basePort: 21_000});

test('the intent is valid', () => {
	expect(checkIntent(intent).isOk()).toBe(true);
});

test('the intent has the regions, services, endpoints and link caps of the deployment', () => {
	expect(intent.regions.map(({availabilityZones}) => availabilityZones.length)).toEqual([2, 2, 2]);
	expect(intent.services.map(({name}) => name)).toEqual(['inventory', 'freight', 'orders', 'catalogue']);
	for (const {endpoints} of intent.services) {
		expect([12, 13, 14]).toContain(endpoints.length);
		expect(endpoints.every(({slots}) => slots === 3 || slots === 4)).toBe(true);
	}

	expect(intent.linkCaps.map(({megabitsPerSecond}) => megabitsPerSecond)).toEqual([300, 300, 300]);
});

test('orders and pickup bookings run at most once', () => {
	const atMostOnceRoutes = intent.services.flatMap(({routes}) => routes).filter(({kind}) => kind === 'atMostOnce').map(({name}) => name);
	expect(atMostOnceRoutes).toEqual(['pickup-booking', 'place-order']);
});
