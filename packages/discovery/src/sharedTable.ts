/**
 * A watched table that only a few instances, the readers, read from the store. The other instances follow a reader and
 * get the changes from it. Readers return the age of their replica with the changes, so that a follower detects that its
 * reader lost the store and reads the store itself in time.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Clock} from '@filbertwell/utils/clock';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {firstValueFrom, merge, timer} from 'rxjs';
import type {RowReplica} from './rowReplica.js';
import type {TableReader, TableReaders} from './tableReaders.js';
import type {VersionedRows, WatchedRow, WatchedTable} from './watchedTable.js';

/** Answer of a reader to a follower. */
export type SharedChanges = {
	/** Changes after the requested version; `undefined` if the reader no longer retains them. */
	readonly reading: {readonly version: number; readonly rows: readonly WatchedRow[]} | undefined;
	/** Milliseconds since the replica of the reader was last known to be current. */
	readonly ageMs: number;
};

/** Requests the changes after a version from a reader, which answers within `waitMs`. The error describes why the call failed. */
export type ReadFromReader = (reader: TableReader, afterVersion: number, waitMs: number) => Promise<Result<SharedChanges, string>>;

export type SharedTableOptions = {
	readonly store: WatchedTable;
	readonly readers: TableReaders;
	readonly readFromReader: ReadFromReader;
	readonly clock: Clock;
};

/** Longest wait of one read from a reader; well below the 2 s timeout of calls between peers. */
const readerWaitMs = 1000;
/**
 * Age above which a replica is stale. A reader refreshes its replica every 1.5 s, and changes must reach all instances
 * within 3 s even when the reader that they follow is cut off from the store.
 */
const staleAfterMs = 2000;
/** Exponential backoff between failed reads of the store by a follower whose reader is not usable either. */
const initialStorePauseMs = 500;
const maximumStorePauseMs = 2000;

/**
 * Waits until a replica has changes after a version, or becomes stale or current again. Runs at a reader for a follower.
 *
 * @param replica - Replica of the reader.
 * @param afterVersion - Version of the follower.
 * @param waitMs - Longest wait in milliseconds; at most 1000 is used.
 * @param clock - Monotonic clock in milliseconds.
 * @returns The changes, whose rows are empty if there are none, and the age of the replica.
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
 * Creates a table that reads from the reader to follow, or from the store if there is none. A follower also reads
 * the store itself if its reader does not answer, is stale or does not retain the changes.
 *
 * @param options - Table of the store, selection of the readers and access to them.
 * @returns The table. Reading all rows always uses the store.
 */
export const createSharedTable = ({store, readers, readFromReader, clock}: SharedTableOptions): WatchedTable => {
	let storePauseMs = initialStorePauseMs;
	let nextStoreReadAtMs = 0;

	/** Reads the store instead of an unusable reader, with backoff, because the store may be unavailable to all instances. */
	const readStoreInstead = async (afterVersion: number, reason: string): Promise<Result<VersionedRows | undefined, PlatformError>> => {
		if (clock() < nextStoreReadAtMs) {
			return err({kind: 'unavailable', operation: 'shared table', detail: reason});
		}

		const result = await store.readChanges(afterVersion, 0);
		storePauseMs = result.isOk() ? initialStorePauseMs : Math.min(storePauseMs * 2, maximumStorePauseMs);
		nextStoreReadAtMs = result.isOk() ? 0 : clock() + storePauseMs;
		return result;
	};

	const readChanges = async (afterVersion: number, waitMs: number): Promise<Result<VersionedRows | undefined, PlatformError>> => {
		const reader = readers.readerToFollow();
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
