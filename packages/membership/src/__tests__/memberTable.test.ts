import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createMemberTable} from '../memberTable.js';
import {createNewsQueue} from '../newsQueue.js';
import {addressOf} from './exchangeFixture.js';

const seed = 20_263;
const states = ['starting', 'serving', 'leaving'] as const;

/** A statement about one member: what a member says of itself follows from its incarnation and sequence. */
const statement = fc.record({
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

const viewAfter = (statements: readonly MemberRecord[]) => {
	const table = createMemberTable(() => 0);
	for (const record of statements) {
		table.learn(record);
	}

	const {member, sequence} = table.get('a')!;
	return {
		sequence, incarnation: member.incarnation, state: member.state, health: member.health,
	};
};

test('members that hear the same statements in any order come to the same view', () => {
	const orders = fc.array(statement, {minLength: 1, maxLength: 8})
		.chain(statements => fc.tuple(fc.constant(statements), fc.shuffledSubarray(statements, {minLength: statements.length})));
	fc.assert(fc.property(orders, ([statements, shuffled]) => {
		expect(viewAfter(shuffled)).toEqual(viewAfter(statements));
	}), {seed, numRuns: 500});
});

test('a view never goes back to an older incarnation or sequence', () => {
	fc.assert(fc.property(fc.array(statement, {minLength: 1, maxLength: 12}), statements => {
		const table = createMemberTable(() => 0);
		let last = {incarnation: 0, sequence: 0};
		for (const record of statements) {
			table.learn(record);
			const {member, sequence} = table.get('a')!;
			const isForward = member.incarnation > last.incarnation || (member.incarnation === last.incarnation && sequence >= last.sequence);
			expect(isForward).toBe(true);
			last = {incarnation: member.incarnation, sequence};
		}
	}), {seed, numRuns: 500});
});

test('the number of members has a bound', () => {
	const table = createMemberTable(() => 0);
	const [record] = fc.sample(statement, {numRuns: 1, seed});
	for (let index = 0; index < 5000; index++) {
		table.learn({...record!, id: `member-${index}`});
	}

	expect(table.known().size).toBe(4096);
});

test('news goes into the given number of messages, those sent least first', () => {
	const news = createNewsQueue();
	news.add('old', 2);
	expect(news.take(5)).toEqual(['old']);
	news.add('new', 2);
	expect(news.take(1)).toEqual(['new']);
	expect(news.take(5).toSorted()).toEqual(['new', 'old']);
	expect(news.take(5)).toEqual([]);
});

test('the number of news has a bound', () => {
	const news = createNewsQueue();
	for (let index = 0; index < 5000; index++) {
		news.add(`member-${index}`, 3);
	}

	expect(news.size()).toBe(1024);
});
