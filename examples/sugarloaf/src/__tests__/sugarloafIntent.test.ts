import {checkIntent} from '@filbertwell/intent/checkIntent';
import {expect, test} from 'vitest';
import {sugarloafIntent} from '../sugarloafIntent.js';

const intent = sugarloafIntent({host: '127.0.0.1', basePort: 22_000});

test('the intent is valid', () => {
	expect(checkIntent(intent).isOk()).toBe(true);
});

test('the intent has the regions, services, endpoints and link caps of the deployment', () => {
	expect(intent.regions.map(({availabilityZones}) => availabilityZones.length)).toEqual([2, 2, 2]);
	expect(intent.services.map(({name}) => name)).toEqual(['designs', 'deposits', 'checkout', 'calendar']);
	for (const {endpoints} of intent.services) {
		expect(endpoints).toHaveLength(12);
		expect(new Set(endpoints.map(({slots}) => slots))).toEqual(new Set([3, 4, 5]));
	}

	expect(intent.linkCaps.map(({megabitsPerSecond}) => megabitsPerSecond)).toEqual([4000, 4000, 4000]);
});

test('orders, deposits and confirmations run at most once', () => {
	const atMostOnceRoutes = intent.services.flatMap(({routes}) => routes).filter(({kind}) => kind === 'atMostOnce').map(({name}) => name);
	expect(atMostOnceRoutes).toEqual(['pay-deposit', 'place-order', 'confirm-work']);
});
