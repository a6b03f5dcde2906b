import {silentLogger} from '@filbertwell/logger/logger';
import {createPeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {InstanceList, ListedInstance} from '@filbertwell/platform/instanceList';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {okAsync} from 'neverthrow';
import {
	filter, firstValueFrom, startWith,
} from 'rxjs';
import {afterEach, expect, test} from 'vitest';
import {createMembership} from '../createMembership.js';
import type {Membership} from '../membership.js';

const running: Membership[] = [];

afterEach(async () => {
	await Promise.all(running.splice(0).map(async membership => membership.stop()));
});

const createList = (listed: readonly ListedInstance[] = []): InstanceList => ({
	list: () => okAsync(listed),
	register: () => okAsync(undefined),
	deregister: () => okAsync(undefined),
});

type Start = {
	readonly id: string;
	readonly seeds?: readonly SocketAddress[];
	readonly listed?: readonly ListedInstance[];
	readonly port?: number;
	readonly incarnation?: number;
};

const start = async ({id, seeds = [], listed = [], port = 0, incarnation}: Start): Promise<Membership> => {
	const channel = await createPeerChannel({address: {host: '127.0.0.1', port}, log: silentLogger});
	const membership = createMembership({
		self: {
			id, role: 'entry', region: 'south', availabilityZone: 'south-a', site: 'south-a', callerAddress: {host: '127.0.0.1', port: 80},
		},
		seeds,
		instances: createList(listed),
		channel,
		clock: monotonicClock,
		random: createRandom(1),
		log: silentLogger,
		incarnation,
		roundIntervalMs: 20,
		suspectAfterMs: 60,
		listIntervalMs: 50,
		removeAfterMs: 100,
	});
	running.push(membership);
	return membership;
};

const waitForMembers = async (membership: Membership, isReached: (members: readonly Member[]) => boolean) =>
	firstValueFrom(membership.changes.pipe(startWith(membership.members()), filter(members => isReached(members))));

const hasMember = (id: string, expected: Partial<Member> = {}) => (members: readonly Member[]): boolean => members.some(member => member.id === id
	&& Object.entries(expected).every(([key, value]) => member[key as keyof Member] === value));

test('members find each other through one seed and receive each change', async () => {
	const first = await start({id: 'a'});
	const seeds = [first.self().peerAddress];
	const others = [await start({id: 'b', seeds}), await start({id: 'c', seeds}), await start({id: 'd', seeds})];
	await Promise.all([first, ...others].map(async membership => waitForMembers(membership, members => members.length === 4)));
	first.announceState('serving');
	first.announceConfiguration(7);
	await Promise.all(others.map(async membership => waitForMembers(membership, hasMember('a', {state: 'serving', configurationVersion: 7}))));
	first.announceState('leaving');
	await Promise.all(others.map(async membership => waitForMembers(membership, hasMember('a', {state: 'leaving'}))));
});

test('without seeds, members are found through the platform\'s instance list', async () => {
	const first = await start({id: 'a'});
	const {host, port} = first.self().peerAddress;
	const listed: ListedInstance[] = [{
		id: 'a', kind: 'entry', host, port, availabilityZone: 'south-a', state: 'live',
	}];
	const second = await start({id: 'b', listed});
	await waitForMembers(first, hasMember('b'));
	await waitForMembers(second, hasMember('a'));
});

test('a member that stops responding becomes suspect while listed and is removed if unlisted', async () => {
	const stopped = await start({id: 'b'});
	const {host, port} = stopped.self().peerAddress;
	const toListed = (id: string): ListedInstance => ({
		id, kind: 'entry', host, port, availabilityZone: 'south-a', state: 'live',
	});
	const withListEntry = await start({id: 'a', seeds: [{host, port}], listed: [toListed('a'), toListed('b'), toListed('c')]});
	const withoutListEntry = await start({id: 'c', seeds: [{host, port}], listed: [toListed('a'), toListed('c')]});
	await Promise.all([waitForMembers(withListEntry, members => members.length === 3), waitForMembers(withoutListEntry, members => members.length === 3)]);
	await stopped.stop();
	await waitForMembers(withListEntry, hasMember('b', {health: 'suspect'}));
	await waitForMembers(withoutListEntry, members => members.length === 2);
	expect(hasMember('b', {health: 'suspect'})(withListEntry.members())).toBe(true);
});

test('a restarted process replaces its predecessor, even if its clock went back', async () => {
	const first = await start({id: 'a', incarnation: 100});
	const seeds = [first.self().peerAddress];
	const predecessor = await start({id: 'b', seeds, incarnation: 200});
	predecessor.announceState('serving');
	await waitForMembers(first, hasMember('b', {incarnation: 200, state: 'serving'}));
	await predecessor.stop();
	const restarted = await start({id: 'b', seeds, incarnation: 150});
	await waitForMembers(first, hasMember('b', {state: 'starting'}));
	expect(restarted.self().incarnation).toBeGreaterThan(200);
});
