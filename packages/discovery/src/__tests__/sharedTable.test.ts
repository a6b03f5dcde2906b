import type {PlatformError} from '@filbertwell/platform/platformError';
import {
	err, errAsync, ok, okAsync, type Result,
} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {readTimesOf} from '../readTimes.js';
import {createRowReplica, type RowReplica} from '../rowReplica.js';
import {awaitChanges, createSharedTable, type SharedChanges} from '../sharedTable.js';
import type {TableReader} from '../tableReaders.js';
import type {VersionedRows, WatchedTable} from '../watchedTable.js';

const clock = () => Date.now();
const times = readTimesOf({planMs: 3000, drainMs: 3000, contactMs: 4000});
const freshness = {clock, staleAfterMs: times.staleAfterMs};

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** Changes that a reader returns without waiting. */
const changesNow = async (replica: RowReplica, afterVersion: number) => {
	const {reading} = await awaitChanges(replica, afterVersion, 0, freshness);
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
		const answer = awaitChanges(replica, 5, 1000, freshness);
		await vi.advanceTimersByTimeAsync(300);
		replica.applyChanges({rows: [{key: 'b', value: undefined}], version: 8});
		expect(await answer).toEqual({reading: {version: 8, rows: [{key: 'b', value: undefined}]}, ageMs: 0});
	});

	test('answers without rows after the wait, with the age of its replica', async () => {
		const answer = awaitChanges(filledReplica(), 5, 1000, freshness);
		await vi.advanceTimersByTimeAsync(1000);
		expect(await answer).toEqual({reading: {version: 5, rows: []}, ageMs: 1000});
	});

	test('answers as soon as its replica becomes stale', async () => {
		const replica = filledReplica();
		await vi.advanceTimersByTimeAsync(1700);
		const answer = awaitChanges(replica, 5, 1000, freshness);
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

const otherReader = {id: 'reader-2', peerAddress: {host: '127.0.0.1', port: 2}};

const createFollower = ({answer, allRows = () => ok({reading: undefined, ageMs: 0}), storeReading, isReader = false, isFirstStart = true}: {
	readonly answer: (reader: TableReader) => Result<SharedChanges, string>;
	readonly allRows?: (reader: TableReader) => Result<SharedChanges, string> | Promise<Result<SharedChanges, string>>;
	readonly storeReading?: () => VersionedRows;
	readonly isReader?: boolean;
	readonly isFirstStart?: boolean;
}) => {
	const avoided = new Set<string>();
	let storeReads = 0;
	const readStore = () => {
		storeReads += 1;
		return storeReading === undefined ? errAsync(unavailable) : okAsync(storeReading());
	};

	const table = createSharedTable({
		store: {readAll: readStore, readChanges: readStore},
		readers: {
			readersToFollow: () => [reader, otherReader].filter(({id}) => !avoided.has(id)),
			isReader: () => isReader,
			storeWaitMs: () => 1500,
			avoid(id) {
				avoided.add(id);
			},
		},
		readFromReader: async asked => answer(asked),
		readAllFromReader: async asked => allRows(asked),
		clock,
		times: () => times,
		isFirstStart,
	});
	return {table, avoided, storeReads: () => storeReads};
};

const storeRows: VersionedRows = {version: 9, rows: [{key: 'a', value: 'store'}]};
const sharedRows = {version: 7, rows: [{key: 'a', value: '2'}]};

/** A drain must be detected within 3 s even when the reader was cut off, stopped or lost the store directly before it. */
const unusableAnswers = [
	['does not answer', () => err('timeout')],
	['lost the store', () => ok({reading: {version: 5, rows: []}, ageMs: 2001})],
] satisfies ReadonlyArray<readonly [string, () => Result<SharedChanges, string>]>;

describe('a follower', () => {
	test('gets changes from its reader without reading the store', async () => {
		const {table, storeReads} = createFollower({answer: () => ok({reading: sharedRows, ageMs: 40})});
		expect(await read(table)).toEqual({...sharedRows, ageMs: 40});
		expect(storeReads()).toBe(0);
	});

	test.each(unusableAnswers)('asks another reader if its reader %s, without reading the store', async (_, answer) => {
		const {table, avoided, storeReads} = createFollower({answer: ({id}) => id === 'reader-1' ? answer() : ok({reading: sharedRows, ageMs: 40})});
		expect(await read(table)).toEqual({...sharedRows, ageMs: 40});
		expect([...avoided]).toEqual(['reader-1']);
		expect(storeReads()).toBe(0);
	});

	test.each(unusableAnswers)('reads the store itself if each reader %s', async (_, answer) => {
		const {table, avoided} = createFollower({answer, storeReading: () => storeRows});
		expect(await read(table)).toEqual(storeRows);
		expect([...avoided]).toEqual(['reader-1', 'reader-2']);
		expect(await read(table)).toEqual(storeRows);
	});

	test('reads the store itself if its reader does not retain the changes', async () => {
		const {table, avoided} = createFollower({answer: () => ok({reading: undefined, ageMs: 10}), storeReading: () => storeRows});
		expect(await read(table)).toEqual(storeRows);
		expect([...avoided]).toEqual([]);
	});

	test('backs off from an unavailable store', async () => {
		const {table, storeReads} = createFollower({answer: () => ok({reading: {version: 5, rows: []}, ageMs: 5000})});
		for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 250) {
			expect(await read(table)).toMatch(/status 503|excluded/u); // eslint-disable-line no-await-in-loop
			await vi.advanceTimersByTimeAsync(250); // eslint-disable-line no-await-in-loop
		}

		expect(storeReads()).toBeLessThanOrEqual(4);
	});
});

describe('the first rows of a follower', () => {
	const readFirst = async (table: WatchedTable) => {
		const result = await table.readAll();
		return result.isOk() ? result.value : result.error.detail;
	};

	test('come from a reader', async () => {
		const {table, storeReads} = createFollower({answer: () => err('not asked'), allRows: () => ok({reading: sharedRows, ageMs: 40})});
		expect(await readFirst(table)).toEqual({...sharedRows, ageMs: 40});
		expect(storeReads()).toBe(0);
	});

	test('come from the store if the rows of the readers are stale', async () => {
		const {table} = createFollower({answer: () => err('not asked'), allRows: () => ok({reading: sharedRows, ageMs: 2001}), storeReading: () => storeRows});
		expect(await readFirst(table)).toEqual(storeRows);
	});

	test('come from the store if the readers do not answer', async () => {
		const {table} = createFollower({answer: () => err('not asked'), allRows: () => err('timeout'), storeReading: () => storeRows});
		expect(await readFirst(table)).toEqual(storeRows);
	});

	/** All instances lost power and return together, and callers are waiting. */
	describe.each([
		['has just restarted as well', () => ok({reading: undefined, ageMs: 0})],
		['does not answer', async () => new Promise<never>(() => {
			// Never settles.
		})],
		['refuses the connection', () => err('ECONNREFUSED')],
	] satisfies ReadonlyArray<readonly [string, () => Result<SharedChanges, string> | Promise<Result<SharedChanges, string>>]>)('after a restart, if its reader %s', (_, allRows) => {
		test('come from the store within half a second', async () => {
			const {table, storeReads} = createFollower({
				answer: () => err('not asked'), allRows, storeReading: () => storeRows, isFirstStart: false,
			});
			const rows = readFirst(table);
			await vi.advanceTimersByTimeAsync(500);
			expect(storeReads()).toBe(1);
			expect(await rows).toEqual(storeRows);
		});
	});

	test('after a restart come from a reader that has rows', async () => {
		const {table, storeReads} = createFollower({answer: () => err('not asked'), allRows: () => ok({reading: sharedRows, ageMs: 40}), isFirstStart: false});
		expect(await readFirst(table)).toEqual({...sharedRows, ageMs: 40});
		expect(storeReads()).toBe(0);
	});

	/** All instances of a large deployment start together; without patience each of them would read the whole table. */
	test('are awaited from readers that have just started, but not for long', async () => {
		const {table, storeReads} = createFollower({answer: () => err('not asked'), storeReading: () => storeRows});
		expect(await readFirst(table)).toBe('no reader has rows yet');
		expect(storeReads()).toBe(0);
		await vi.advanceTimersByTimeAsync(4000);
		expect(await readFirst(table)).toEqual(storeRows);
	});
});

test('a reader reads the store', async () => {
	const {table} = createFollower({answer: () => err('not asked'), storeReading: () => storeRows, isReader: true});
	expect(await read(table)).toEqual(storeRows);
});

test('a replica that is refreshed from a reader has the age that the reader reports', async () => {
	const replica = filledReplica();
	await vi.advanceTimersByTimeAsync(1000);
	replica.applyChanges({version: 5, rows: [], ageMs: 400});
	expect(replica.ageMs()).toBe(400);
});
