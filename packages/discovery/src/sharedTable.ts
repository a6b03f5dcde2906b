/**
 * A followed table that only a few instances read from the store; the others get its changes from one of them.
 * The age of what a reader passes on tells a follower when the reader lost the store, so that it turns to
 * the store itself in time.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Clock} from '@filbertwell/utils/clock';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {firstValueFrom, merge, timer} from 'rxjs';
import type {RowReplica} from './rowReplica.js';
import type {TableReader, TableReaders} from './tableReaders.js';
import type {TableReading, WatchedRow, WatchedTable} from './watchedTable.js';

/** What a reader passes on. */
export type SharedChanges = {
	/** Changes after the version asked for; `undefined` where the reader does not know them any more. */
	readonly reading: {readonly version: number; readonly rows: readonly WatchedRow[]} | undefined;
	/** Milliseconds since the reader's copy was known to be current. */
	readonly ageMs: number;
};

/** Asks a reader for the changes after a version; it answers after the wait at the latest. */
export type ReadFromReader = (reader: TableReader, afterVersion: number, waitMs: number) => Promise<Result<SharedChanges, string>>;

/** Parameters of a shared table. */
export type SharedTableOptions = {
	readonly store: WatchedTable;
	readonly readers: TableReaders;
	readonly readFromReader: ReadFromReader;
	readonly clock: Clock;
};

/** Longest wait of one reading at a reader, in milliseconds: well below the time limit of peers' calls, 2 s. */
const readerWaitMs = 1000;
/**
 * Age from which a copy is out of date, in milliseconds. A reader refreshes its copy every 1.5 s; changes must
 * reach all instances within 3 s, though the reader that they follow is cut off.
 */
const staleAfterMs = 2000;
/** Pauses between readings of the store by a follower whose reader lost it as well, in milliseconds. */
const firstStorePauseMs = 500;
const longestStorePauseMs = 2000;

/**
 * Waits for news of a copy: changes after a version, or the moment at which it goes out of date.
 *
 * @param replica - The copy.
 * @param afterVersion - Version of the one who asks.
 * @param waitMs - Longest wait, in milliseconds.
 * @param clock - Monotonic milliseconds.
 * @returns The changes, without rows where there are none.
 */
export const awaitChanges = async (replica: RowReplica, afterVersion: number, waitMs: number, clock: Clock): Promise<SharedChanges> => {
	const untilMs = clock() + Math.min(waitMs, readerWaitMs);
	const wasStale = replica.ageMs() > staleAfterMs;
	for (;;) {
		const rows = replica.changesSince(afterVersion);
		const version = replica.version();
		const isStale = replica.ageMs() > staleAfterMs;
		const remainingMs = untilMs - clock();
		if (rows === undefined || version === undefined || rows.length > 0 || isStale !== wasStale || remainingMs <= 0) {
			return {reading: rows === undefined || version === undefined ? undefined : {version: Math.max(version, afterVersion), rows}, ageMs: replica.ageMs()};
		}

		const staleInMs = isStale ? remainingMs : staleAfterMs - replica.ageMs() + 1;
		await firstValueFrom(merge(replica.refreshed, timer(Math.min(remainingMs, staleInMs)))); // eslint-disable-line no-await-in-loop
	}
};

/**
 * Creates a shared table.
 *
 * @param options - The store's table and the readers.
 * @returns The table as this instance reads it.
 */
export const createSharedTable = ({store, readers, readFromReader, clock}: SharedTableOptions): WatchedTable => {
	let storePauseMs = firstStorePauseMs;
	let nextStoreReadAtMs = 0;

	/** Reads the store in place of a reader that lost it; at growing intervals, as the store may be gone for all. */
	const readStoreInstead = async (afterVersion: number, reason: string): Promise<Result<TableReading | undefined, PlatformError>> => {
		if (clock() < nextStoreReadAtMs) {
			return err({kind: 'unavailable', operation: 'shared table', detail: reason});
		}

		const reading = await store.readChanges(afterVersion, 0);
		storePauseMs = reading.isOk() ? firstStorePauseMs : Math.min(storePauseMs * 2, longestStorePauseMs);
		nextStoreReadAtMs = reading.isOk() ? 0 : clock() + storePauseMs;
		return reading;
	};

	const readChanges = async (afterVersion: number, waitMs: number): Promise<Result<TableReading | undefined, PlatformError>> => {
		const reader = readers.source();
		if (reader === undefined) {
			return store.readChanges(afterVersion, waitMs);
		}

		const shared = await readFromReader(reader, afterVersion, readerWaitMs);
		if (shared.isErr()) {
			readers.avoid(reader.id);
			return readStoreInstead(afterVersion, `reader ${reader.id}: ${shared.error}`);
		}

		const {reading, ageMs} = shared.value;
		if (reading === undefined || (ageMs > staleAfterMs && reading.rows.length === 0)) {
			return readStoreInstead(afterVersion, `the copy of reader ${reader.id} is ${Math.round(ageMs)} ms old`);
		}

		return ok({...reading, ageMs});
	};

	return {
		readAll: store.readAll,
		readChanges: (afterVersion, waitMs) => new ResultAsync(readChanges(afterVersion, waitMs)),
	};
};
