import fc from 'fast-check';
import type {Intent} from '@filbertwell/types/intent';
import {expect, test} from 'vitest';
import {drain} from '../buildIntent.js';
import {diffIntent, formatIntentChange} from '../diffIntent.js';
import {sampleIntent} from './sampleIntent.js';

const [orders, catalogue] = sampleIntent.services as [Intent['services'][number], Intent['services'][number]];

const formatDiff = (after: Intent) => diffIntent(sampleIntent, after).map(change => formatIntentChange(change));

test.each([
	{name: 'nothing', after: structuredClone(sampleIntent), expected: []},
	{name: 'order of services', after: {...sampleIntent, services: [catalogue, orders]}, expected: []},
	{
		name: 'slots of an endpoint',
		after: {...sampleIntent, services: [{...orders, endpoints: orders.endpoints.map(endpoint => ({...endpoint, slots: 5}))}, catalogue]},
		expected: ['~ services.orders.endpoints.orders-1.slots: 3 -> 5', '~ services.orders.endpoints.orders-2.slots: 4 -> 5'],
	},
	{
		name: 'order of routes',
		after: {...sampleIntent, services: [{...orders, routes: orders.routes.toReversed()}, catalogue]},
		expected: ['~ services.orders.routes: order ["place","read"] -> ["read","place"]'],
	},
	{
		name: 'a drain added and one removed',
		after: {...sampleIntent, drains: [drain('region', 'north', 'works')]},
		expected: [
			'- drains.endpoint/orders-2 {"target":"endpoint","name":"orders-2","pace":"capped","reason":"maintenance"}',
			'+ drains.region/north {"target":"region","name":"north","pace":"capped","reason":"works"}',
		],
	},
	{
		name: 'a shift cap',
		after: {...sampleIntent, shiftCaps: {...sampleIntent.shiftCaps, plannedSharePerMinute: 0.5}},
		expected: ['~ shiftCaps.plannedSharePerMinute: 0.1 -> 0.5'],
	},
	{
		name: 'a link with its regions in reverse order',
		after: {...sampleIntent, linkCaps: [{between: ['north', 'south'] as const, megabitsPerSecond: 300}]},
		expected: ['~ linkCaps.north/south.between: ["south","north"] -> ["north","south"]'],
	},
	{
		name: 'sites of a preference',
		after: {...sampleIntent, sitePreferences: [{name: 'from-south', sites: ['south-a']}]},
		expected: ['~ sitePreferences.from-south.sites: ["south-a","north-a"] -> ["south-a"]'],
	},
])('diff of $name', ({after, expected}) => {
	expect(formatDiff(after)).toEqual(expected);
});

test('items named like built-in object properties are compared like any other', () => {
	const after = {...sampleIntent, tenants: [{name: 'constructor', weight: 1}, {name: '__proto__', weight: 2}]};
	expect(diffIntent(after, structuredClone(after))).toEqual([]);
	expect(formatDiff(after)).toHaveLength(3);
});

const tenants = fc.uniqueArray(fc.record({name: fc.string({maxLength: 4}), weight: fc.integer({min: 1, max: 3})}), {selector: tenant => tenant.name, maxLength: 6});

test('the diff is empty exactly when both lists hold the same items, and has the same length in both directions', () => {
	fc.assert(fc.property(tenants, tenants, (before, after) => {
		const forward = diffIntent({...sampleIntent, tenants: before}, {...sampleIntent, tenants: after});
		const backward = diffIntent({...sampleIntent, tenants: after}, {...sampleIntent, tenants: before});
		const serializeSorted = (items: typeof before) => items.map(item => JSON.stringify(item)).toSorted();
		expect(forward.length === 0).toBe(JSON.stringify(serializeSorted(before)) === JSON.stringify(serializeSorted(after)));
		expect(backward).toHaveLength(forward.length);
	}), {seed: 44, numRuns: 300});
});
