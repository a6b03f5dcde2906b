import type {Intent} from '@filbertwell/types/intent';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {drain, shift} from '../buildIntent.js';
import {checkIntent, parseIntent} from '../checkIntent.js';
import {formatIntentProblem} from '../intentProblem.js';
import {formatIntent} from '../printIntent.js';
import {sampleIntent} from './sampleIntent.js';

type Changes = ReadonlyArray<readonly [path: string, value: unknown]>;

const replaceAt = (value: unknown, [key, ...rest]: readonly string[], replacement: unknown): unknown => {
	if (key === undefined) {
		return replacement;
	}

	const copy = structuredClone(value) as Record<string, unknown>;
	copy[key] = replaceAt(copy[key], rest, replacement);
	return copy;
};

const listPaths = (value: unknown, path: readonly string[] = []): Array<readonly string[]> => {
	const children = typeof value === 'object' && value !== null ? Object.entries(value) : [];
	return [path, ...children.flatMap(([key, child]) => listPaths(child, [...path, key]))];
};

/** Returns the sample intent without its drain and with some values replaced; `undefined` removes a key. */
const changeSample = (changes: Changes): unknown => {
	let document: unknown = {...sampleIntent, drains: []};
	for (const [path, value] of changes) {
		document = replaceAt(document, path.split('.'), value);
	}

	return JSON.parse(formatIntent(document as Intent));
};

const formatProblems = (document: unknown) => checkIntent(document)._unsafeUnwrapErr().map(problem => formatIntentProblem(problem));

test('the sample without its drain is valid', () => {
	expect(checkIntent(changeSample([])).isOk()).toBe(true);
});

const schemaCases: Array<{name: string; changes: Changes; expected: RegExp}> = [
	{
		name: 'unknown key',
		changes: [['services.0.endponts', []]],
		expected: /^services\[0\]\.endponts = \[\]: unknown key; .*"endpoints"/v,
	},
	{
		name: 'missing key',
		changes: [['lookups.addresses', undefined]],
		expected: /^lookups\.addresses: the key is missing; use an integer from 1 to 64/v,
	},
	{
		name: 'lifetime of 0',
		changes: [['lookups.lifetimeSeconds', 0]],
		expected: /^lookups\.lifetimeSeconds = 0: out of range; use an integer from 1 to 3600 \(seconds\)/v,
	},
	{
		name: 'lifetime as text',
		changes: [['lookups.lifetimeSeconds', '5']],
		expected: /^lookups\.lifetimeSeconds = "5": wrong type of value/v,
	},
	{
		name: 'lifetime with a fraction',
		changes: [['lookups.lifetimeSeconds', 0.5]],
		expected: /^lookups\.lifetimeSeconds = 0\.5: /v,
	},
	{
		name: 'no slots',
		changes: [['services.0.endpoints.0.slots', 0]],
		expected: /^services\[0\]\.endpoints\[0\]\.slots = 0: out of range/v,
	},
	{
		name: 'unknown request class',
		changes: [['services.0.routes.0.requestClass', 'urgent']],
		expected: /requestClass = "urgent": not a known value; use one of critical, interactive, background/v,
	},
	{
		name: 'host name in place of an IP address',
		changes: [['services.0.endpoints.0.host', 'localhost']],
		expected: /host = "localhost": malformed value; use an IPv4 or IPv6 number/v,
	},
	{
		name: 'path prefix of two segments',
		changes: [['services.0.pathPrefix', '/a/b']],
		expected: /^services\[0\]\.pathPrefix = "\/a\/b": .*one path segment/v,
	},
	{
		name: 'share over 1',
		changes: [['regionShares.0.maximumShare', 1.2]],
		expected: /maximumShare = 1\.2: out of range; use a number from 0 to 1/v,
	},
	{
		name: 'no services',
		changes: [['services', []]],
		expected: /^services = \[\]: out of range; add at least one item/v,
	},
	{
		name: 'list in place of an object',
		changes: [['shiftCaps', []]],
		expected: /^shiftCaps = \[\]: wrong type of value; use an object with the keys plannedSharePerMinute, failoverSharePerMinute/v,
	},
];

test.each(schemaCases)('schema: $name', ({changes, expected}) => {
	const problems = formatProblems(changeSample(changes));
	expect(problems.join('\n')).toMatch(expected);
	expect(problems).toHaveLength(1);
});

const crossFieldCases: Array<{name: string; changes: Changes; expected: RegExp}> = [
	{
		name: 'duplicate endpoint id',
		changes: [['services.1.endpoints.0.id', 'orders-1']],
		expected: /^services\[1\]\.endpoints\[0\]\.id = "orders-1": duplicate endpoint id, first given at services\[0\]\.endpoints\[0\]\.id/v,
	},
	{
		name: 'duplicate endpoint address',
		changes: [['services.1.endpoints.0.port', 9001]],
		expected: /^services\[1\]\.endpoints\[0\] = "127\.0\.0\.1 port 9001": duplicate endpoint address/v,
	},
	{
		name: 'unknown zone',
		changes: [['services.0.endpoints.0.availabilityZone', 'south-b']],
		expected: /^services\[0\]\.endpoints\[0\]\.availabilityZone = "south-b": unknown availability zone; .*"south-a"/v,
	},
	{
		name: 'zone in two regions',
		changes: [['regions.1.availabilityZones.1', 'south-a']],
		expected: /^regions\[1\]\.availabilityZones\[1\] = "south-a": duplicate availability zone/v,
	},
	{
		name: 'duplicate service prefix',
		changes: [['services.1.pathPrefix', '/orders']],
		expected: /^services\[1\]\.pathPrefix = "\/orders": duplicate path prefix/v,
	},
	{
		name: 'path prefix reserved by entries',
		changes: [['services.1.pathPrefix', '/lookup']],
		expected: /entries answer this path themselves; use another path/v,
	},
	{
		name: 'host name of two services',
		changes: [['services.1.hosts', ['orders.example']]],
		expected: /^services\[1\]\.hosts\[0\] = "orders\.example": duplicate host/v,
	},
	{
		name: 'route that never matches',
		changes: [['services.0.routes.2', {...sampleIntent.services[0]!.routes[1], name: 'late', pathPrefix: '/deep'}]],
		expected: /^services\[0\]\.routes\[2\] = "late": overlaps with route "read" before it/v,
	},
	{
		name: 'hedged at-most-once route',
		changes: [['services.0.routes.0.hedge', true]],
		expected: /^services\[0\]\.routes\[0\]\.hedge = true: a hedge would run an at-most-once request twice/v,
	},
	{
		name: 'maximum shares with a sum under 1',
		changes: [['regionShares.0.maximumShare', 0.3]],
		expected: /^services\[0\] = "orders": its regions may take only 0\.9 of its traffic together/v,
	},
	{
		name: 'shares of a region without endpoints do not count',
		changes: [['regionShares.2', {region: 'south', service: 'catalogue', maximumShare: 0.5}]],
		expected: /^services\[1\] = "catalogue": its regions may take only 0\.5/v,
	},
	{
		name: 'duplicate share',
		changes: [['regionShares.2', {region: 'north', service: '*', maximumShare: 1}]],
		expected: /^regionShares\[2\] = "north for \*": duplicate region share/v,
	},
	{
		name: 'shift to a region without slots',
		changes: [['shifts', [shift('catalogue', 'north', 0.5)]]],
		expected: /^shifts\[0\]\.share = 0\.5: service "catalogue" has no slots in region "north"/v,
	},
	{
		name: 'shift over the maximum share',
		changes: [['shifts', [shift('orders', 'north', 0.65)]]],
		expected: /^shifts\[0\]\.share = 0\.65: region "north" may take at most 0\.6/v,
	},
	{
		name: 'shifts with a sum over 1',
		changes: [['regionShares', []], ['shifts', [shift('orders', 'north', 0.6), shift('orders', 'south', 0.6)]]],
		expected: /^shifts = "orders": the shifts of service "orders" add up to 1\.2/v,
	},
	{
		name: 'unknown drain target',
		changes: [['drains', [drain('endpoint', 'orders-9', 'x')]]],
		expected: /^drains\[0\]\.name = "orders-9": unknown endpoint; .*"orders-1"/v,
	},
	{
		name: 'drain that leaves a service without endpoints',
		changes: [['regionShares', []], ['drains', [drain('availabilityZone', 'south-a', 'x')]]],
		expected: /^drains = \["south-a"\]: the drains leave service "catalogue" without any endpoint/v,
	},
	{
		name: 'drain that leaves regions whose maximum shares are too small',
		changes: [['drains', [drain('endpoint', 'orders-2', 'x')]]],
		expected: /^drains = \["orders-2"\]: the regions that the drains leave to service "orders" may take only 0\.7/v,
	},
	{
		name: 'link of a region to itself',
		changes: [['linkCaps.0.between', ['south', 'south']]],
		expected: /^linkCaps\[0\]\.between = \["south","south"\]: a link joins two different regions/v,
	},
	{
		name: 'link given in both directions',
		changes: [['linkCaps.1', {between: ['north', 'south'], megabitsPerSecond: 1}]],
		expected: /^linkCaps\[1\]\.between = "north and south": duplicate pair of regions/v,
	},
	{
		name: 'malformed client block',
		changes: [['clientBlocks.0.prefix', '10.1.0.0/33']],
		expected: /^clientBlocks\[0\]\.prefix = "10\.1\.0\.0\/33": not a CIDR prefix/v,
	},
	{
		name: 'client block with host bits set',
		changes: [['clientBlocks.0.prefix', '10.1.2.3/16']],
		expected: /^clientBlocks\[0\]\.prefix = "10\.1\.2\.3\/16": not in canonical form; use 10\.1\.0\.0\/16/v,
	},
	{
		name: 'duplicate client block',
		changes: [['clientBlocks.2', {prefix: 'fd00::/48', preference: 'from-south'}]],
		expected: /^clientBlocks\[2\]\.prefix = "fd00::\/48": duplicate client block, first given at clientBlocks\[1\]/v,
	},
	{
		name: 'preference with an unknown site',
		changes: [['sitePreferences.0.sites', ['south-z']]],
		expected: /^sitePreferences\[0\]\.sites\[0\] = "south-z": unknown site/v,
	},
	{
		name: 'unknown default preference',
		changes: [['lookups.defaultPreference', 'from-suoth']],
		expected: /^lookups\.defaultPreference = "from-suoth": unknown site preference; .*"from-south"/v,
	},
	{
		name: 'duplicate tenant',
		changes: [['tenants.1', {name: 'shops', weight: 1}]],
		expected: /^tenants\[1\]\.name = "shops": duplicate tenant/v,
	},
];

test.each(crossFieldCases)('cross-field rule: $name', ({changes, expected}) => {
	const problems = formatProblems(changeSample(changes));
	expect(problems.join('\n')).toMatch(expected);
	expect(problems).toHaveLength(1);
});

describe('any input is parsed or rejected without an exception', () => {
	test('any text', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.string({unit: 'binary'})), text => {
			expect(parseIntent(text)._unsafeUnwrapErr().length).toBeGreaterThan(0);
		}), {seed: 42, numRuns: 500});
	});

	test('the sample with any one value replaced by any JSON value', () => {
		const paths = listPaths(sampleIntent);
		fc.assert(fc.property(fc.constantFrom(...paths), fc.jsonValue(), (path, value) => {
			const outcome = checkIntent(replaceAt(sampleIntent, path, value));
			expect(outcome.isOk() || outcome.error.every(problem => problem.fix !== '')).toBe(true);
		}), {seed: 43, numRuns: 2000});
	});

	test('malformed JSON is reported as such', () => {
		expect(parseIntent('{"deployment": }')._unsafeUnwrapErr()[0]?.problem).toMatch(/malformed JSON/v);
	});
});

test('a formatted intent parses to an equal intent that formats to the same text', () => {
	const intent: Intent = {...sampleIntent, drains: []};
	const text = formatIntent(intent);
	const parsed = parseIntent(text)._unsafeUnwrap();
	expect(parsed).toEqual(intent);
	expect(formatIntent(parsed)).toBe(text);
});
