import type {Configuration} from '@filbertwell/types/configuration';
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {expect, test} from 'vitest';
import {createLookup} from '../lookup.js';

const intent: Intent = {
	deployment: 'test',
	regions: [{name: 'south', availabilityZones: ['south-a', 'south-b']}, {name: 'north', availabilityZones: ['north-a']}],
	services: [{
		name: 'orders', pathPrefix: '/orders', hosts: [], endpoints: [], routes: [], maximumBodyBytes: 1,
	}],
	regionShares: [],
	linkCaps: [],
	shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
	drains: [],
	shifts: [],
	sites: [
		{name: 's1', availabilityZone: 'south-a'},
		{name: 's2', availabilityZone: 'south-b'},
		{name: 's3', availabilityZone: 'north-a'},
	],
	sitePreferences: [{name: 'southern', sites: ['s1', 's2']}, {name: 'northern', sites: ['s3']}, {name: 'none', sites: []}],
	clientBlocks: [
		{prefix: '10.0.0.0/8', preference: 'southern'},
		{prefix: '10.1.0.0/16', preference: 'northern'},
		{prefix: '2001:db8::/32', preference: 'northern'},
	],
	lookups: {lifetimeSeconds: 30, addresses: 3, defaultPreference: 'none'},
	tenants: [],
};

const createConfiguration = (changes: Partial<Intent> = {}, version = 1): Configuration => ({
	version, changeId: `change-${version}`, author: 'test', acceptedAt: '2026-01-01T00:00:00Z', intent: {...intent, ...changes},
});

const createMember = (id: string, site: string, changes: Partial<Member> = {}): Member => {
	const {availabilityZone} = intent.sites.find(({name}) => name === site)!;
	return {
		id,
		role: 'entry',
		incarnation: 1,
		region: availabilityZone.split('-', 1)[0]!,
		availabilityZone,
		site,
		callerAddress: {host: '127.0.0.1', port: 8000 + Number(id.slice(1))},
		peerAddress: {host: '127.0.0.1', port: 9000 + Number(id.slice(1))},
		state: 'serving',
		health: 'alive',
		configurationVersion: 1,
		load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
		...changes,
	};
};

const allMembers = [
	createMember('e1', 's1'),
	createMember('e2', 's1'),
	createMember('e3', 's1'),
	createMember('e4', 's2'),
	createMember('e5', 's2'),
	createMember('e6', 's3'),
];

const start = async (members: readonly Member[] = allMembers, changes: Partial<Intent> = {}) => {
	let current = members;
	const lookup = createLookup({members: () => current});
	await lookup.update(createConfiguration(changes));
	return {
		lookup,
		setMembers(changed: readonly Member[]) {
			current = changed;
		},
		entries: (address: string) => lookup.answer('orders', address)._unsafeUnwrap().addresses.map(({entry}) => entry),
	};
};

test('the longest matching block determines the preference, which orders the sites', async () => {
	const {lookup, entries} = await start();
	expect(lookup.answer('orders', '10.2.3.4')._unsafeUnwrap()).toMatchObject({
		service: 'orders', block: '10.0.0.0/8', lifetimeSeconds: 30, configurationVersion: 1,
	});
	expect(entries('10.2.3.4').slice(0, 2).every(entry => ['e1', 'e2', 'e3'].includes(entry))).toBe(true);
	expect(entries('10.1.3.4')[0]).toBe('e6');
	expect(lookup.answer('orders', '2001:db8::1')._unsafeUnwrap().block).toBe('2001:db8::/32');
	expect(lookup.answer('orders', '::ffff:10.1.0.1')._unsafeUnwrap().block).toBe('10.1.0.0/16');
});

test('the last address of an answer belongs to another site', async () => {
	const {entries} = await start();
	expect(['e4', 'e5']).toContain(entries('10.2.3.4').at(-1));
});

test('callers outside all blocks get the default preference', async () => {
	const {lookup, entries} = await start();
	expect(lookup.answer('orders', '192.0.2.1')._unsafeUnwrap().block).toBeUndefined();
	expect(entries('192.0.2.1')).toHaveLength(3);
});

test.each([
	['a malformed address', 'orders', '10.0.0', 'invalidAddress'],
	['an empty address', 'orders', '', 'invalidAddress'],
	['a host name', 'orders', 'localhost', 'invalidAddress'],
	['an unknown service', 'other', '10.0.0.1', 'unknownService'],
])('%s gives a typed error', async (_, service, address, kind) => {
	const {lookup} = await start();
	expect(lookup.answer(service, address)._unsafeUnwrapErr().kind).toBe(kind);
});

test('a look-up before the first configuration gives the error noConfiguration', () => {
	expect(createLookup({members: () => []}).answer('orders', '10.0.0.1')._unsafeUnwrapErr().kind).toBe('noConfiguration');
});

test.each([
	['leaving', {state: 'leaving'}],
	['suspect', {health: 'suspect'}],
	['starting', {state: 'starting'}],
] as const)('a %s entry is removed from answers at once and the order of the others does not change', async (_, changes) => {
	const {entries, setMembers} = await start();
	const before = entries('10.2.3.4');
	const [first] = before;
	setMembers(allMembers.map(member => member.id === first ? {...member, ...changes} : member));
	const after = entries('10.2.3.4');
	expect(after).not.toContain(first);
	expect(after[0]).toBe(before[1]);
});

const entryDrain: Drain = {
	target: 'entry', name: 'e6', pace: 'immediate', reason: 'test',
};

test.each([
	['drained', allMembers, [entryDrain], 'e6', false],
	['the only one, and drained', [createMember('e6', 's3')], [entryDrain], 'e6', true],
	['the only one, and suspect', [createMember('e6', 's3', {health: 'suspect'})], [], 'e6', true],
	['the only one, and leaving', [createMember('e6', 's3', {state: 'leaving'})], [], 'e6', true],
	['in a region with an immediate drain', allMembers, [{...entryDrain, target: 'region', name: 'north'}], 'e6', false],
	['in a region with a capped drain', allMembers, [{
		...entryDrain, target: 'region', name: 'north', pace: 'capped',
	}], 'e6', true],
] as const)('whether an answer contains an entry that is %s', async (_, members, drains, id, isExpected) => {
	const {entries} = await start(members, {drains});
	expect(entries('10.1.3.4').includes(id)).toBe(isExpected);
});

test('a look-up without any entry gives the error noEntry', async () => {
	const {lookup} = await start([createMember('e1', 's1', {role: 'lookup'})]);
	expect(lookup.answer('orders', '10.0.0.1')._unsafeUnwrapErr().kind).toBe('noEntry');
});

test('blocks are spread over the entries of a site', async () => {
	const clientBlocks = Array.from({length: 256}, (_, index) => ({prefix: `10.0.${index}.0/24`, preference: 'southern'}));
	const {entries} = await start(allMembers, {clientBlocks});
	const counts = new Map<string, number>();
	for (let index = 0; index < 256; index++) {
		const [first] = entries(`10.0.${index}.7`);
		counts.set(first!, (counts.get(first!) ?? 0) + 1);
	}

	expect([...counts.keys()].toSorted()).toEqual(['e1', 'e2', 'e3']);
	expect(Math.min(...counts.values())).toBeGreaterThan(60);
});

test('the later of two concurrent updates is in force at the end', async () => {
	const {lookup} = await start();
	const clientBlocks = Array.from({length: 20_000}, (_, index) => ({
		prefix: `10.${Math.floor(index / 256)}.${index % 256}.0/24`, preference: 'northern',
	}));
	const superseded = lookup.update(createConfiguration({clientBlocks}, 2));
	const latest = lookup.update(createConfiguration({drains: [entryDrain]}, 3));
	await Promise.all([superseded, latest]);
	expect(lookup.answer('orders', '10.1.0.1')._unsafeUnwrap().configurationVersion).toBe(3);
});
