import type {PlatformError} from '@filbertwell/platform/platformError';
import {
	err, errAsync, ok, okAsync, type Result,
} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createRowReplica, type RowReplica} from '../rowReplica.js';
import {awaitChanges, createSharedTable, type SharedChanges} from '../sharedTable.js';
import type {VersionedRows, WatchedTable} from '../watchedTable.js';

const clock = () => Date.now();

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** Changes that a reader returns without waiting. */
const changesNow = async (replica: RowReplica, afterVersion: number) => {
	const {reading} = await awaitChanges(replica, afterVersion, 0, clock);
	return reading;
};

/** Rows that a follower reads, or the detail of the error. */
const read = async (table: WatchedTable) => {
	const result = await table.readChanges(5, 1500);
	return result.isOk() ? result.value : result.error.detail;
};

const filledReplica = () => {
	const replica = createRowReplica(clock);
	replica.applySnapshot({rows: [{key: 'a', value: '1'}, {key: 'b', value: '1'}], version: 5});
	return replica;
};

describe('a reader', () => {
	test('answers a follower with the first change', async () => {
		const replica = filledReplica();
		const answer = awaitChanges(replica, 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(300);
		replica.applyChanges({rows: [{key: 'b', value: undefined}], version: 8});
		expect(await answer).toEqual({reading: {version: 8, rows: [{key: 'b', value: undefined}]}, ageMs: 0});
	});

	test('answers without rows after the wait, with the age of its replica', async () => {
		const answer = awaitChanges(filledReplica(), 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(1000);
		expect(await answer).toEqual({reading: {version: 5, rows: []}, ageMs: 1000});
	});

	test('answers as soon as its replica becomes stale', async () => {
		const replica = filledReplica();
		await vi.advanceTimersByTimeAsync(1700);
		const answer = awaitChanges(replica, 5, 1000, clock);
		await vi.advanceTimersByTimeAsync(302);
		const {ageMs} = await answer;
		expect(ageMs).toBeGreaterThan(2000);
	});

	test('returns no changes to a follower that missed more than it retains', async () => {
		const replica = filledReplica();
		expect(await changesNow(replica, 4)).toBeUndefined();
		replica.applyChanges({rows: Array.from({length: 2001}, (_, index) => ({key: `k${index}`, value: '1'})), version: 9});
		expect(await changesNow(replica, 5)).toBeUndefined();
	});

	test('returns the latest state of a row that changed several times', async () => {
		const replica = filledReplica();
		replica.applyChanges({rows: [{key: 'a', value: '2'}], version: 6});
		replica.applyChanges({rows: [{key: 'a', value: '3'}], version: 7});
		expect(await changesNow(replica, 5)).toMatchObject({rows: [{key: 'a', value: '3'}]});
		expect(await changesNow(replica, 7)).toMatchObject({rows: []});
	});
});

const unavailable: PlatformError = {kind: 'unavailable', operation: 'rows.feed', detail: 'status 503'};
const reader = {id: 'reader-1', peerAddress: {host: '127.0.0.1', port: 1}};

const createFollower = ({answer, storeReading, hasReader = true}: {
	readonly answer: () => Result<SharedChanges, string>;
	readonly storeReading?: () => VersionedRows | undefined;
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
			readerToFollow: () => hasReader ? reader : undefined,
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

const storeRows: VersionedRows = {version: 9, rows: [{key: 'a', value: 'store'}]};

describe('a follower', () => {
	test('gets changes from its reader without reading the store', async () => {
		const {table, storeReads} = createFollower({answer: () => ok({reading: {version: 7, rows: [{key: 'a', value: '2'}]}, ageMs: 40})});
		expect(await read(table)).toEqual({version: 7, rows: [{key: 'a', value: '2'}], ageMs: 40});
		expect(storeReads()).toBe(0);
	});

	/** A drain must be detected within 3 s even when the reader was cut off, stopped or lost the store directly before it. */
	test.each([
		['does not answer', () => err('timeout')],
		['lost the store', () => ok({reading: {version: 5, rows: []}, ageMs: 2001})],
		['does not retain the changes since then', () => ok({reading: undefined, ageMs: 10})],
	] satisfies ReadonlyArray<readonly [string, () => Result<SharedChanges, string>]>)('reads the store itself if its reader %s', async (_, answer) => {
		const {table, avoided} = createFollower({answer, storeReading: () => storeRows});
		expect(await read(table)).toEqual(storeRows);
		expect(avoided).toEqual(answer().isErr() ? ['reader-1'] : []);
	});

	test('backs off from an unavailable store and keeps its reader', async () => {
		const {table, storeReads, avoided} = createFollower({answer: () => ok({reading: {version: 5, rows: []}, ageMs: 5000})});
		for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 250) {
			expect(await read(table)).toMatch(/status 503|copy of reader reader-1 is 5000 ms old/u); // eslint-disable-line no-await-in-loop
			await vi.advanceTimersByTimeAsync(250); // eslint-disable-line no-await-in-loop
		}

		expect(storeReads()).toBeLessThanOrEqual(5);
		expect(avoided).toEqual([]);
	});

	test('gets changes from its reader again after the reader has reached the store', async () => {
		let ageMs = 5000;
		const {table} = createFollower({answer: () => ok({reading: {version: 5, rows: []}, ageMs})});
		expect(await read(table)).toBe('status 503');
		ageMs = 20;
		expect(await read(table)).toEqual({version: 5, rows: [], ageMs: 20});
	});
});

test('an instance without a reader to follow reads the store', async () => {
	const {table} = createFollower({answer: () => err('not asked'), storeReading: () => storeRows, hasReader: false});
	expect(await read(table)).toEqual(storeRows);
});

test('a replica that is refreshed from a reader has the age that the reader reports', async () => {
	const replica = filledReplica();
	await vi.advanceTimersByTimeAsync(1000);
	replica.applyChanges({version: 5, rows: [], ageMs: 400});
	expect(replica.ageMs()).toBe(400);
});
