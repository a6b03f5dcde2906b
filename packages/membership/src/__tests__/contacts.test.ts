import {silentLogger} from '@filbertwell/logger/logger';
import {expect, test} from 'vitest';
import {createContacts} from '../contacts.js';
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
	const contacts = createContacts({seeds: seeds.map(id => addressOf(id)), self, table});
	const join = (id: string) => table.learn({...self.record(), id, peerAddress: addressOf(id)});
	const hosts = (round: number) => contacts.next(round).map(({host}) => host);
	return {
		contacts, table, join, hosts,
	};
};

test('a lonely process tries all its seeds in turn, and never itself', () => {
	const {hosts} = createFixture(['a', 'self', 'b', 'c', 'd']);
	expect(hosts(1)).toEqual(['a', 'b', 'c']);
	expect(hosts(2)).toEqual(['d', 'a', 'b']);
});

test('with all seeds gone, listed entries and forgotten members are tried', () => {
	const {contacts, table, join, hosts} = createFixture([]);
	contacts.setListed([
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

test('a process with a live member tries other addresses now and then', () => {
	const {join, hosts} = createFixture(['a', 'b']);
	join('a');
	expect(hosts(1)).toEqual([]);
	expect(hosts(10)).toEqual(['b']);
});
