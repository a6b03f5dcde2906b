import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createMemberTable} from '../memberTable.js';
import {createBroadcastQueue} from '../broadcastQueue.js';
import {addressOf} from './exchangeFixture.js';

const seed = 20_263;
const states = ['starting', 'serving', 'leaving'] as const;

/** Generates records of one member whose own state follows from its incarnation and sequence. */
const recordArbitrary = fc.record({
	incarnation: fc.integer({min: 1, max: 3}),
	sequence: fc.integer({min: 1, max: 6}),
	isSuspect: fc.boolean(),
}).map(({incarnation, sequence, isSuspect}): MemberRecord => ({
	id: 'a',
	incarnation,
	sequence,
	state: states[Math.floor((sequence - 1) / 2)]!,
	health: isSuspect ? 'suspect' : 'alive',
	configurationVersion: (incarnation * 10) + sequence,
	role: 'entry',
	region: 'south',
	availabilityZone: 'south-a',
	site: 's1',
	callerAddress: addressOf('a'),
	peerAddress: addressOf('a'),
}));

const viewAfter = (records: readonly MemberRecord[]) => {
	const table = createMemberTable(() => 0);
	for (const record of records) {
		table.merge(record);
	}

	const {member, sequence} = table.get('a')!;
	return {
		sequence, incarnation: member.incarnation, state: member.state, health: member.health,
	};
};

test('merging the same records in any order gives the same view', () => {
	const orders = fc.array(recordArbitrary, {minLength: 1, maxLength: 8})
		.chain(records => fc.tuple(fc.constant(records), fc.shuffledSubarray(records, {minLength: records.length})));
	fc.assert(fc.property(orders, ([records, shuffled]) => {
		expect(viewAfter(shuffled)).toEqual(viewAfter(records));
	}), {seed, numRuns: 500});
});

test('a view never returns to an older incarnation or sequence', () => {
	fc.assert(fc.property(fc.array(recordArbitrary, {minLength: 1, maxLength: 12}), records => {
		const table = createMemberTable(() => 0);
		let last = {incarnation: 0, sequence: 0};
		for (const record of records) {
			table.merge(record);
			const {member, sequence} = table.get('a')!;
			const isForward = member.incarnation > last.incarnation || (member.incarnation === last.incarnation && sequence >= last.sequence);
			expect(isForward).toBe(true);
			last = {incarnation: member.incarnation, sequence};
		}
	}), {seed, numRuns: 500});
});

test('the number of members is bounded', () => {
	const table = createMemberTable(() => 0);
	const [record] = fc.sample(recordArbitrary, {numRuns: 1, seed});
	for (let index = 0; index < 5000; index++) {
		table.merge({...record!, id: `member-${index}`});
	}

	expect(table.known().size).toBe(4096);
});

test('a change is sent in the given number of messages, and the least sent changes come first', () => {
	const queue = createBroadcastQueue();
	queue.add('old', 2);
	expect(queue.take(5)).toEqual(['old']);
	queue.add('new', 2);
	expect(queue.take(1)).toEqual(['new']);
	expect(queue.take(5).toSorted()).toEqual(['new', 'old']);
	expect(queue.take(5)).toEqual([]);
});

test('the number of queued changes is bounded', () => {
	const queue = createBroadcastQueue();
	for (let index = 0; index < 5000; index++) {
		queue.add(`member-${index}`, 3);
	}

	expect(queue.size()).toBe(1024);
});
