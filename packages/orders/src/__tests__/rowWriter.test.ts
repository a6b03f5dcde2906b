import {createMemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {defaultOrderLimits} from '../orderLimits.js';
import {createRowWriter} from '../rowWriter.js';

const setUp = (changes = {}) => {
	const platform = createMemoryPlatform();
	const writer = createRowWriter(platform.table, {...defaultOrderLimits, ...changes}, monotonicClock);
	return {platform, writer};
};

const write = (key: string, revision = 0) => ({check: {key, revision}, write: {key, value: key}});

test('writes of the same event loop turn share a transaction', async () => {
	const {writer} = setUp();
	const outcomes = await Promise.all(Array.from({length: 50}, async (_, index) => writer.write(write(`k${index}`))));
	expect(outcomes.every(outcome => outcome.isOk() && outcome.value.kind === 'committed')).toBe(true);
	expect(writer.transactions()).toBe(1);
});

test('a conflict fails only its own write', async () => {
	const {platform, writer} = setUp();
	await platform.table.transact({checks: [], writes: [{key: 'taken', value: 'x'}]});
	const outcomes = await Promise.all(['a', 'taken', 'b'].map(async key => writer.write(write(key))));
	expect(outcomes.map(outcome => outcome._unsafeUnwrap().kind)).toEqual(['committed', 'conflict', 'committed']);
	expect(outcomes[1]!._unsafeUnwrap().row).toMatchObject({key: 'taken', value: 'x'});
});

test('two writes of the same row are sent one after the other', async () => {
	const {writer} = setUp();
	const [first, second] = await Promise.all([writer.write(write('k')), writer.write(write('k'))]);
	expect([first, second].map(outcome => outcome._unsafeUnwrap().kind)).toEqual(['committed', 'conflict']);
});

test('a failed transaction fails each of its writes', async () => {
	const {platform, writer} = setUp();
	platform.setFaults([{target: 'table', kind: 'lostReply', count: 1}]);
	const outcomes = await Promise.all(['a', 'b'].map(async key => writer.write(write(key))));
	expect(outcomes.map(outcome => outcome._unsafeUnwrapErr().kind)).toEqual(['unknown', 'unknown']);
	expect(platform.state.read('b')).toMatchObject({value: 'b'});
});

test('a write is rejected when the queue is full', async () => {
	const {writer} = setUp({maximumQueuedWrites: 1});
	const [first, second] = await Promise.all([writer.write(write('a')), writer.write(write('b'))]);
	expect(first.isOk()).toBe(true);
	expect(second._unsafeUnwrapErr().kind).toBe('unavailable');
});
