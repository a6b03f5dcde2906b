import {silentLogger} from '@filbertwell/logger/logger';
import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {MethodParameters} from '@filbertwell/peer-protocol/methods';
import type {PeerCall} from '@filbertwell/peer-protocol/rpcClient';
import {err, ok} from 'neverthrow';
import {expect, test} from 'vitest';
import {createMemberFetch, createMembersHandler} from '../memberFetch.js';
import {addressOf} from './exchangeFixture.js';

const createRecords = (count: number, changes: Partial<MemberRecord> = {}): MemberRecord[] => Array.from({length: count}, (_, index) => {
	const id = `member-${String(index).padStart(4, '0')}`;
	return {
		id,
		incarnation: 1,
		sequence: 1,
		state: 'serving',
		health: 'alive',
		configurationVersion: 0,
		role: 'entry',
		region: 'south',
		availabilityZone: 'south-a',
		site: 's1',
		callerAddress: addressOf(id),
		peerAddress: addressOf(id),
		...changes,
	};
});

const createFixture = (own: readonly MemberRecord[], peers: readonly MemberRecord[]) => {
	const learned: MemberRecord[] = [];
	const requests: Array<MethodParameters<'membership.members'>> = [];
	const handler = createMembersHandler(() => peers);
	let isDown = false;
	const call = async (_to: unknown, _method: unknown, parameters: MethodParameters<'membership.members'>) => {
		requests.push(parameters);
		return isDown ? err({kind: 'unreachable', detail: 'down'}) : ok(await handler(parameters));
	};

	const fetch = createMemberFetch({
		call: call as unknown as PeerCall,
		learn(record) {
			learned.push(record);
		},
		records: () => own,
		log: silentLogger,
	});
	return {
		fetch,
		learned,
		requests,
		setDown(down: boolean) {
			isDown = down;
		},
	};
};

const peer = addressOf('peer');

test('all members are fetched in pages, once', async () => {
	const peers = createRecords(890);
	const {fetch, learned, requests} = createFixture([], peers);
	await fetch.fetchAll(peer);
	await fetch.fetchAll(peer);
	expect(learned).toEqual(peers);
	expect(requests).toHaveLength(5);
});

test('after a failure all members are asked for again', async () => {
	const {fetch, learned, setDown} = createFixture([], createRecords(3));
	setDown(true);
	await fetch.fetchAll(peer);
	setDown(false);
	await fetch.fetchAll(peer);
	expect(learned).toHaveLength(3);
});

test('equal pages bring no records, and one difference is found within a pass over all pages', async () => {
	const own = createRecords(100);
	const peers = own.with(70, {...own[70]!, state: 'leaving'});
	const {fetch, learned} = createFixture(own, peers);
	for (let page = 0; page < 4; page++) {
		await fetch.comparePage(peer); // eslint-disable-line no-await-in-loop -- one page after another
	}

	expect(learned).toHaveLength(32);
	expect(learned).toContainEqual(peers[70]);
});

test('a member that only the peer knows is found, also behind the last page', async () => {
	const peers = createRecords(40);
	const {fetch, learned} = createFixture(peers.slice(0, 32), peers);
	await fetch.comparePage(peer);
	await fetch.comparePage(peer);
	await fetch.comparePage(peer);
	expect(learned.map(({id}) => id)).toContain('member-0039');
});

test('unknown members are fetched by id', async () => {
	const {fetch, learned} = createFixture([], createRecords(10));
	await fetch.fetchUnknown(['member-0007', 'nobody'], peer);
	expect(learned.map(({id}) => id)).toEqual(['member-0007']);
});
