import {silentLogger} from '@filbertwell/logger/logger';
import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {MethodParameters} from '@filbertwell/peer-protocol/methods';
import type {PeerCall} from '@filbertwell/peer-protocol/rpcClient';
import {err, ok} from 'neverthrow';
import {expect, test} from 'vitest';
import {createMemberFetcher, createMembersHandler} from '../memberFetcher.js';
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
	const merged: MemberRecord[] = [];
	const requests: Array<MethodParameters<'membership.members'>> = [];
	const handler = createMembersHandler(() => peers);
	let isDown = false;
	const call = async (_to: unknown, _method: unknown, parameters: MethodParameters<'membership.members'>) => {
		requests.push(parameters);
		return isDown ? err({kind: 'unreachable', detail: 'down'}) : ok(await handler(parameters));
	};

	const fetcher = createMemberFetcher({
		call: call as unknown as PeerCall,
		merge(record) {
			merged.push(record);
		},
		records: () => own,
		log: silentLogger,
	});
	return {
		fetcher,
		merged,
		requests,
		setDown(isUnreachable: boolean) {
			isDown = isUnreachable;
		},
	};
};

const peer = addressOf('peer');

test('all members are fetched in pages, once', async () => {
	const peers = createRecords(890);
	const {fetcher, merged, requests} = createFixture([], peers);
	await fetcher.fetchAll(peer);
	await fetcher.fetchAll(peer);
	expect(merged).toEqual(peers);
	expect(requests).toHaveLength(5);
});

test('after a failure all members are requested again', async () => {
	const {fetcher, merged, setDown} = createFixture([], createRecords(3));
	setDown(true);
	await fetcher.fetchAll(peer);
	setDown(false);
	await fetcher.fetchAll(peer);
	expect(merged).toHaveLength(3);
});

test('equal pages transfer no records, and a single difference is found within a pass over all pages', async () => {
	const own = createRecords(100);
	const peers = own.with(70, {...own[70]!, state: 'leaving'});
	const {fetcher, merged} = createFixture(own, peers);
	for (let page = 0; page < 4; page++) {
		await fetcher.comparePage(peer); // eslint-disable-line no-await-in-loop -- one page after another
	}

	expect(merged).toHaveLength(32);
	expect(merged).toContainEqual(peers[70]);
});

test('a member that only the peer knows is found, even if its id follows all own ids', async () => {
	const peers = createRecords(40);
	const {fetcher, merged} = createFixture(peers.slice(0, 32), peers);
	await fetcher.comparePage(peer);
	await fetcher.comparePage(peer);
	await fetcher.comparePage(peer);
	expect(merged.map(({id}) => id)).toContain('member-0039');
});

test('unknown members are fetched by id', async () => {
	const {fetcher, merged} = createFixture([], createRecords(10));
	await fetcher.fetchUnknown(['member-0007', 'nobody'], peer);
	expect(merged.map(({id}) => id)).toEqual(['member-0007']);
});
