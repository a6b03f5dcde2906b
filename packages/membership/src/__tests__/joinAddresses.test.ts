import {silentLogger} from '@filbertwell/logger/logger';
import {expect, test} from 'vitest';
import {createJoinAddresses} from '../joinAddresses.js';
import {createMemberTable} from '../memberTable.js';
import {createSelfAnnouncement} from '../selfAnnouncement.js';
import {addressOf} from './exchangeFixture.js';

const createFixture = (seeds: readonly string[]) => {
	const self = createSelfAnnouncement({
		identity: {
			id: 'self',
			role: 'entry',
			region: 'south',
			availabilityZone: 'south-a',
			site: 's1',
			callerAddress: addressOf('self'),
			peerAddress: addressOf('self'),
		},
		firstIncarnation: 1,
		clock: () => 0,
		log: silentLogger,
	});
	const table = createMemberTable(() => 0);
	const joinAddresses = createJoinAddresses({seeds: seeds.map(id => addressOf(id)), self, table});
	const join = (id: string) => table.merge({...self.record(), id, peerAddress: addressOf(id)});
	const hosts = (round: number) => joinAddresses.next(round).map(({host}) => host);
	return {
		joinAddresses, table, join, hosts,
	};
};

test('a process without alive members tries all its seeds in turn, except itself', () => {
	const {hosts} = createFixture(['a', 'self', 'b', 'c', 'd']);
	expect(hosts(1)).toEqual(['a', 'b', 'c']);
	expect(hosts(2)).toEqual(['d', 'a', 'b']);
});

test('without seeds, listed entries and removed members are tried', () => {
	const {joinAddresses, table, join, hosts} = createFixture([]);
	joinAddresses.setListed([
		{
			id: 'x', kind: 'entry', host: 'x', port: 1, availabilityZone: 'south-a', state: 'live',
		},
		{
			id: 'u', kind: 'upstream', host: 'u', port: 1, availabilityZone: 'south-a', state: 'live',
		},
	]);
	join('forgotten');
	table.remove('forgotten');
	expect(hosts(1).toSorted()).toEqual(['forgotten', 'x']);
});

test('a process with an alive member tries one other address every ten rounds', () => {
	const {join, hosts} = createFixture(['a', 'b']);
	join('a');
	expect(hosts(1)).toEqual([]);
	expect(hosts(10)).toEqual(['b']);
});
