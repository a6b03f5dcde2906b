import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {createMemberTable} from '../memberTable.js';
import {findRemovable} from '../findRemovable.js';
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
	['suspect for long enough and unlisted', ['self', 'a', 'b'], 40_000, 31_000, ['gone']],
	['suspect for long enough and listed', ['self', 'a', 'b', 'gone'], 40_000, 31_000, []],
	['suspect for too short a time', ['self', 'a', 'b'], 40_000, 29_999, []],
	['unlisted in a list read before it became suspect', ['self', 'a', 'b'], 9000, 31_000, []],
	['missing from an empty list', [], 40_000, 31_000, []],
	['missing from a list that lacks most alive members', ['self'], 40_000, 31_000, []],
	['unlisted while this process is unlisted too', ['a', 'b'], 40_000, 31_000, ['gone']],
])('whether a member is removed that is %s', (_, listed, readAtMs, suspectForMs, expected) => {
	const clock = createManualClock(10_000);
	const table = createMemberTable(clock.now);
	for (const id of ['a', 'b', 'gone']) {
		table.merge(recordOf(id));
	}

	table.suspect('gone');
	const reading = {readAtMs, instances: listed.map(id => toListed(id))};
	clock.advance(suspectForMs);
	expect(findRemovable({
		table, reading, now: clock.now(), removeAfterMs, selfId: 'self',
	})).toEqual(expected);
});

test('no member is removed without a reading of the list', () => {
	const table = createMemberTable(() => 0);
	table.merge(recordOf('gone'));
	table.suspect('gone');
	expect(findRemovable({
		table, reading: undefined, now: 1e9, removeAfterMs, selfId: 'self',
	})).toEqual([]);
});

test('an alive member is not removed, even if the list lacks it', () => {
	const table = createMemberTable(() => 0);
	table.merge(recordOf('a'));
	expect(findRemovable({
		table, reading: {readAtMs: 1, instances: [toListed('self')]}, now: 1e9, removeAfterMs, selfId: 'self',
	})).toEqual([]);
});

test('a removed member is added again only by a newer record', () => {
	const table = createMemberTable(() => 0);
	table.merge(recordOf('a'));
	table.remove('a');
	expect(table.merge(recordOf('a'))).toBe('stale');
	expect(table.merge({...recordOf('a'), sequence: 2})).toBe('joined');
});
