import type {PlatformError} from '@filbertwell/platform/platformError';
import {silentLogger} from '@filbertwell/logger/logger';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {
	describe, expect, test, vi,
} from 'vitest';
import {followTable} from '../followTable.js';
import {createRowReplica} from '../rowReplica.js';
import type {VersionedRows, WatchedRow, WatchedTable} from '../watchedTable.js';

const unavailable: PlatformError = {kind: 'unavailable', operation: 'rows.feed', detail: 'status 503'};

type ScriptedResult = VersionedRows | 'expired' | 'unavailable';

/** A table that returns the given results in order and is unavailable after the last one. */
const scriptedTable = (all: ReadonlyArray<Exclude<ScriptedResult, 'expired'>>, changes: readonly ScriptedResult[]): WatchedTable => {
	const snapshotResults = [...all];
	const changeResults = [...changes];
	const unavailableResult = errAsync(unavailable);
	return {
		readAll() {
			const result = snapshotResults.shift();
			return result === undefined || result === 'unavailable' ? unavailableResult : okAsync(result);
		},
		readChanges(): ResultAsync<VersionedRows | undefined, PlatformError> {
			const result = changeResults.shift();
			if (result === undefined || result === 'unavailable') {
				return unavailableResult;
			}

			return okAsync(result === 'expired' ? undefined : result);
		},
	};
};

const follow = (table: WatchedTable, readFromPeer: () => Promise<VersionedRows | undefined> = async () => undefined, isBehindPeers = () => false) => {
	const changes: WatchedRow[] = [];
	const stopping = new AbortController();
	const replica = createRowReplica(monotonicClock);
	const done = followTable({
		name: 'registrations',
		table,
		replica,
		readFromPeer,
		isBehindPeers,
		onChange({rows}) {
			changes.push(...rows);
		},
		clock: monotonicClock,
		random: createRandom(3),
		log: silentLogger,
		signal: stopping.signal,
		waitMs: () => 0,
		maximumRetryMs: () => 1000,
		pauseMs: 1,
	});
	const stop = async () => {
		stopping.abort();
		await done;
	};

	return {changes, replica, stop};
};

describe('following a table', () => {
	test('emits all rows, then the changes, then the removals after the history was lost', async () => {
		const {changes, stop} = follow(scriptedTable(
			[{rows: [{key: 'a', value: '1'}, {key: 'b', value: '1'}], version: 5}, {rows: [{key: 'a', value: '2'}], version: 9}],
			[{rows: [{key: 'a', value: '2'}], version: 6}, 'expired'],
		));
		await vi.waitFor(() => {
			expect(changes).toHaveLength(4);
		});
		await stop();
		expect(changes).toEqual([{key: 'a', value: '1'}, {key: 'b', value: '1'}, {key: 'a', value: '2'}, {key: 'b', value: undefined}]);
	});

	test('continues after failed calls', async () => {
		const {changes, stop} = follow(scriptedTable(['unavailable', {rows: [{key: 'a', value: '1'}], version: 5}], ['unavailable', {rows: [{key: 'a', value: '2'}], version: 6}]));
		await vi.waitFor(() => {
			expect(changes).toEqual([{key: 'a', value: '1'}, {key: 'a', value: '2'}]);
		}, {timeout: 10_000});
		await stop();
	});

	test('ignores rows of an older version and reads them again with backoff until they are current', async () => {
		const old: VersionedRows = {rows: [{key: 'a', value: 'old'}], version: 4};
		const {changes, stop} = follow(scriptedTable(
			[{rows: [{key: 'a', value: '1'}], version: 5}, old, old, {rows: [{key: 'a', value: '2'}], version: 8}],
			['expired'],
		));
		await vi.waitFor(() => {
			expect(changes).toHaveLength(2);
		}, {timeout: 10_000});
		await stop();
		expect(changes).toEqual([{key: 'a', value: '1'}, {key: 'a', value: '2'}]);
	});

	/** After a restart, a store whose answers lag would bring back an endpoint that has left. */
	test('takes the newer rows of a peer after the first read of the store', async () => {
		const {replica, stop} = follow(
			scriptedTable([{rows: [{key: 'a', value: '1'}, {key: 'left', value: '1'}], version: 5}], []),
			async () => ({rows: [{key: 'a', value: '1'}], version: 7, ageMs: 10}),
		);
		await vi.waitFor(() => {
			expect(replica.snapshot()).toEqual({rows: [{key: 'a', value: '1'}], version: 7});
		});
		await stop();
	});

	/** A read of the store that is never answered must not keep an old plan in force while peers have a newer one. */
	test('reads from a peer that is known to have newer rows, although the store has not failed yet', async () => {
		let peerVersion = 5;
		const neverAnswered = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		const waiting: WatchedTable = {
			readAll: () => okAsync({rows: [{key: 'plan', value: '5'}], version: 5}),
			readChanges: () => new ResultAsync<VersionedRows | undefined, PlatformError>(neverAnswered),
		};
		const {replica} = follow(waiting, async () => ({rows: [{key: 'plan', value: String(peerVersion)}], version: peerVersion}), () => peerVersion > (replica.version() ?? 0));
		await vi.waitFor(() => {
			expect(replica.version()).toBe(5);
		});
		peerVersion = 9;
		await vi.waitFor(() => {
			expect(replica.version()).toBe(9);
		});
	});

	test('rows of a peer have the age that the peer reports', async () => {
		const {replica, stop} = follow(scriptedTable([], []), async () => ({rows: [], version: 7, ageMs: 60_000}));
		await vi.waitFor(() => {
			expect(replica.version()).toBe(7);
		}, {timeout: 10_000});
		expect(replica.ageMs()).toBeGreaterThan(200);
		await stop();
	});

	test('reads from a peer while the store is unavailable', async () => {
		const {changes, replica, stop} = follow(scriptedTable([], []), async () => ({rows: [{key: 'a', value: '7'}], version: 7}));
		await vi.waitFor(() => {
			expect(changes).toEqual([{key: 'a', value: '7'}]);
		}, {timeout: 10_000});
		await stop();
		expect(replica.version()).toBe(7);
	});
});

describe('replica of a table', () => {
	test('never returns to an older version', () => {
		const replica = createRowReplica(monotonicClock);
		replica.applySnapshot({rows: [{key: 'a', value: 'new'}], version: 8});
		expect(replica.applySnapshot({rows: [{key: 'a', value: 'old'}], version: 7})).toBeUndefined();
		expect(replica.applyChanges({rows: [{key: 'a', value: 'old'}], version: 7})).toBeUndefined();
		expect(replica.snapshot()).toEqual({rows: [{key: 'a', value: 'new'}], version: 8});
	});

	test('does not report rows that did not change', () => {
		const replica = createRowReplica(monotonicClock);
		replica.applySnapshot({rows: [{key: 'a', value: '1'}], version: 1});
		expect(replica.applyChanges({rows: [{key: 'a', value: '1'}], version: 2})?.rows).toEqual([]);
	});
});
