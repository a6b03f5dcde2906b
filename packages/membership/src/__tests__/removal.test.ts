import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {createMemberTable} from '../memberTable.js';
import {findGone} from '../removal.js';
import {addressOf} from './exchangeFixture.js';

const recordOf = (id: string): MemberRecord => ({
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
});

const toListed = (id: string): ListedInstance => ({
	id, kind: 'entry', host: id, port: 1, availabilityZone: 'south-a', state: 'live',
});

const removeAfterMs = 30_000;

test.each([
	['silent for long and unlisted', ['self', 'a', 'b'], 40_000, 31_000, ['gone']],
	['silent for long and listed', ['self', 'a', 'b', 'gone'], 40_000, 31_000, []],
	['silent for a short time', ['self', 'a', 'b'], 40_000, 29_999, []],
	['unlisted in a list from before its silence', ['self', 'a', 'b'], 9000, 31_000, []],
	['missing from an empty list', [], 40_000, 31_000, []],
	['missing from a list that lacks most members that answer', ['self'], 40_000, 31_000, []],
	['unlisted while this process is unlisted too', ['a', 'b'], 40_000, 31_000, ['gone']],
])('a member that is %s', (_, listed, readAtMs, silentForMs, expected) => {
	const clock = createManualClock(10_000);
	const table = createMemberTable(clock.now);
	for (const id of ['a', 'b', 'gone']) {
		table.learn(recordOf(id));
	}

	table.suspect('gone');
	const reading = {readAtMs, instances: listed.map(id => toListed(id))};
	clock.advance(silentForMs);
	expect(findGone({
		table, reading, now: clock.now(), removeAfterMs, selfId: 'self',
	})).toEqual(expected);
});

test('without any reading nobody is forgotten', () => {
	const table = createMemberTable(() => 0);
	table.learn(recordOf('gone'));
	table.suspect('gone');
	expect(findGone({
		table, reading: undefined, now: 1e9, removeAfterMs, selfId: 'self',
	})).toEqual([]);
});

test('a member that answers is not forgotten, whatever the list says', () => {
	const table = createMemberTable(() => 0);
	table.learn(recordOf('a'));
	expect(findGone({
		table, reading: {readAtMs: 1, instances: [toListed('self')]}, now: 1e9, removeAfterMs, selfId: 'self',
	})).toEqual([]);
});

test('a member that was forgotten comes back with a newer record only', () => {
	const table = createMemberTable(() => 0);
	table.learn(recordOf('a'));
	table.remove('a');
	expect(table.learn(recordOf('a'))).toBe('stale');
	expect(table.learn({...recordOf('a'), sequence: 2})).toBe('joined');
});
