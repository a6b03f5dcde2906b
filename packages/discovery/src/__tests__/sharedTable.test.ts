import type {PlatformError} from '@filbertwell/platform/platformError';
import {
	err, errAsync, ok, okAsync, type Result,
} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createRowReplica, type RowReplica} from '../rowReplica.js';
import {awaitChanges, createSharedTable, type SharedChanges} from '../sharedTable.js';
import type {TableReading, WatchedTable} from '../watchedTable.js';

const clock = () => Date.now();

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** What a reader answers at once. */
const changesNow = async (replica: RowReplica, afterVersion: number) => {
	const {reading} = await awaitChanges(replica, afterVersion, 0, clock);
	return reading;
};

/** What a follower reads; the error's detail where it can't. */
const read = async (table: WatchedTable) => {
	const reading = await table.readChanges(5, 1500);
	return reading.isOk() ? reading.value : reading.error.detail;
};

const filledReplica = () => {
	const replica = createRowReplica(clock);
	replica.replace({rows: [{key: 'a', value: '1'}, {key: 'b', value: '1'}], version: 5});
	return replica;
};

describe('a reader', () => {
	test('answers a follower with the first change', async () => {
		const replica = filledReplica();
		const answer = awaitChanges(replica, 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(300);
		replica.update({rows: [{key: 'b', value: undefined}], version: 8});
		expect(await answer).toEqual({reading: {version: 8, rows: [{key: 'b', value: undefined}]}, ageMs: 0});
	});

	test('answers without rows after the wait, with the age of its copy', async () => {
		const answer = awaitChanges(filledReplica(), 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(1000);
		expect(await answer).toEqual({reading: {version: 5, rows: []}, ageMs: 1000});
	});

	test('says at once when its copy goes out of date', async () => {
		const replica = filledReplica();
		await vi.advanceTimersByTimeAsync(1700);
		const answer = awaitChanges(replica, 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(302);
		const {ageMs} = await answer;
		expect(ageMs).toBeGreaterThan(2000);
	});

	test('tells a follower that missed too much that it does not know the changes', async () => {
		const replica = filledReplica();
		expect(await changesNow(replica, 4)).toBeUndefined();
		replica.update({rows: Array.from({length: 2001}, (_, index) => ({key: `k${index}`, value: '1'})), version: 9});
		expect(await changesNow(replica, 5)).toBeUndefined();
	});

	test('tells the newest state of a row that changed several times', async () => {
		const replica = filledReplica();
		replica.update({rows: [{key: 'a', value: '2'}], version: 6});
		replica.update({rows: [{key: 'a', value: '3'}], version: 7});
		expect(await changesNow(replica, 5)).toMatchObject({rows: [{key: 'a', value: '3'}]});
		expect(await changesNow(replica, 7)).toMatchObject({rows: []});
	});
});

const unavailable: PlatformError = {kind: 'unavailable', operation: 'rows.feed', detail: 'status 503'};
const reader = {id: 'reader-1', peerAddress: {host: '127.0.0.1', port: 1}};

const follower = ({answer, storeReading, hasReader = true}: {
	readonly answer: () => Result<SharedChanges, string>;
	readonly storeReading?: () => TableReading | undefined;
	readonly hasReader?: boolean;
}) => {
	const avoided: string[] = [];
	let storeReads = 0;
	const store: WatchedTable = {
		readAll: () => errAsync(unavailable),
		readChanges() {
			storeReads += 1;
			return storeReading === undefined ? errAsync(unavailable) : okAsync(storeReading());
		},
	};
	const table = createSharedTable({
		store,
		readers: {
			source: () => hasReader ? reader : undefined,
			storeWaitMs: () => 1500,
			avoid(id) {
				avoided.push(id);
			},
		},
		readFromReader: async () => answer(),
		clock,
	});
	return {table, avoided, storeReads: () => storeReads};
};

const fromStore: TableReading = {version: 9, rows: [{key: 'a', value: 'store'}]};

describe('a follower', () => {
	test('gets changes from its reader and leaves the store alone', async () => {
		const {table, storeReads} = follower({answer: () => ok({reading: {version: 7, rows: [{key: 'a', value: '2'}]}, ageMs: 40})});
		expect(await read(table)).toEqual({version: 7, rows: [{key: 'a', value: '2'}], ageMs: 40});
		expect(storeReads()).toBe(0);
	});

	/** A drain must be known within 3 s, though the reader was cut off, stopped or lost the store right before it. */
	test.each([
		['does not answer', () => err('timeout')],
		['lost the store', () => ok({reading: {version: 5, rows: []}, ageMs: 2001})],
		['does not know the changes since then', () => ok({reading: undefined, ageMs: 10})],
	] satisfies ReadonlyArray<readonly [string, () => Result<SharedChanges, string>]>)('reads the store itself where its reader %s', async (_, answer) => {
		const {table, avoided} = follower({answer, storeReading: () => fromStore});
		expect(await read(table)).toEqual(fromStore);
		expect(avoided).toEqual(answer().isErr() ? ['reader-1'] : []);
	});

	test('asks a store that is away seldom, and keeps its reader', async () => {
		const {table, storeReads, avoided} = follower({answer: () => ok({reading: {version: 5, rows: []}, ageMs: 5000})});
		for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 250) {
			expect(await read(table)).toMatch(/status 503|copy of reader reader-1 is 5000 ms old/u); // eslint-disable-line no-await-in-loop
			await vi.advanceTimersByTimeAsync(250); // eslint-disable-line no-await-in-loop
		}

		expect(storeReads()).toBeLessThanOrEqual(5);
		expect(avoided).toEqual([]);
	});

	test('takes changes from its reader again once the reader has the store', async () => {
		let ageMs = 5000;
		const {table} = follower({answer: () => ok({reading: {version: 5, rows: []}, ageMs})});
		expect(await read(table)).toBe('status 503');
		ageMs = 20;
		expect(await read(table)).toEqual({version: 5, rows: [], ageMs: 20});
	});
});

test('an instance without a reader to follow reads the store', async () => {
	const {table} = follower({answer: () => err('not asked'), storeReading: () => fromStore, hasReader: false});
	expect(await read(table)).toEqual(fromStore);
});

test('a copy from a reader is as old as the reader says', async () => {
	const replica = filledReplica();
	await vi.advanceTimersByTimeAsync(1000);
	replica.update({version: 5, rows: [], ageMs: 400});
	expect(replica.ageMs()).toBe(400);
});
