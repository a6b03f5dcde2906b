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
import {
	firstValueFrom, map, merge, race, timer,
} from 'rxjs';
import type {RowReplica} from './rowReplica.js';
import type {ReadTimes} from './readTimes.js';
import type {TableReader, TableReaders} from './tableReaders.js';
import type {VersionedRows, WatchedRow, WatchedTable} from './watchedTable.js';

/** Answer of a reader to a follower. */
export type SharedChanges = {
	/** Changes after the requested version; `undefined` if the reader no longer retains them. */
	readonly reading: {readonly version: number; readonly rows: readonly WatchedRow[]} | undefined;
	/** Milliseconds since the replica of the reader was last known to be current. */
	readonly ageMs: number;
};

/** Requests all rows of a reader; its answer has no `reading` if it has none yet. The error describes why the call failed. */
export type ReadAllFromReader = (reader: TableReader) => Promise<Result<SharedChanges, string>>;

/** Requests the changes after a version from a reader, which answers within `waitMs`. The error describes why the call failed. */
export type ReadFromReader = (reader: TableReader, afterVersion: number, waitMs: number) => Promise<Result<SharedChanges, string>>;

export type SharedTableOptions = {
	readonly store: WatchedTable;
	readonly readers: TableReaders;
	readonly readFromReader: ReadFromReader;
	readonly readAllFromReader: ReadAllFromReader;
	readonly clock: Clock;
	readonly times: () => ReadTimes;
	/**
	 * Whether all instances of the deployment start for the first time. There are no callers yet, so followers wait for
	 * the rows of the readers. After a restart callers are waiting, so they don't.
	 */
	readonly isFirstStart: boolean;
};

/** Longest wait of one read from a reader; well below the 2 s timeout of calls between peers. */
const readerWaitMs = 1000;
/** Number of readers that are asked in one read before the store is read. */
const readersPerRead = 2;
/** Time after the first start of a deployment in which an instance waits for a reader that has rows. */
const firstRowsPatienceMs = 4000;
/** Time for the first rows of a reader after a restart: a connection and a call to another region. */
const restartAnswerMs = 400;
/** Exponential backoff between failed reads of the store by a follower whose readers are not usable either. */
const initialStorePauseMs = 500;
const maximumStorePauseMs = 4000;

/**
 * Waits until a replica has changes after a version, or becomes stale or current again. Runs at a reader for a follower.
 *
 * @param replica - Replica of the reader.
 * @param afterVersion - Version of the follower.
 * @param waitMs - Longest wait in milliseconds; at most 1000 is used.
 * @param options - Monotonic clock in milliseconds, and the age above which a replica is stale.
 * @returns The changes, whose rows are empty if there are none, and the age of the replica.
 */
export const awaitChanges = async (replica: RowReplica, afterVersion: number, waitMs: number, {clock, staleAfterMs}: {readonly clock: Clock; readonly staleAfterMs: number}): Promise<SharedChanges> => {
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
 * Creates a table that reads from a reader, or from the store if there is none to follow. A follower also reads the store
 * itself if its readers do not answer, are stale or do not retain the changes.
 *
 * @param options - Table of the store, selection of the readers and access to them.
 * @returns The table.
 */
export const createSharedTable = (options: SharedTableOptions): WatchedTable => {
	const {store, readers, readFromReader, readAllFromReader, clock, times, isFirstStart} = options;
	const createdAtMs = clock();
	let storePauseMs = initialStorePauseMs;
	let nextStoreReadAtMs = 0;

	const unavailable = (detail: string): Result<never, PlatformError> => err({kind: 'unavailable', operation: 'shared table', detail});

	/** Reads the store instead of an unusable reader, with backoff, because the store may be unavailable to all instances. */
	const readStoreInstead = async <Rows>(read: () => ResultAsync<Rows, PlatformError>, reason: string): Promise<Result<Rows, PlatformError>> => {
		if (clock() < nextStoreReadAtMs) {
			return unavailable(reason);
		}

		const result = await read();
		storePauseMs = result.isOk() ? initialStorePauseMs : Math.min(storePauseMs * 2, maximumStorePauseMs);
		nextStoreReadAtMs = result.isOk() ? 0 : clock() + storePauseMs;
		return result;
	};

	const readChanges = async (afterVersion: number, waitMs: number): Promise<Result<VersionedRows | undefined, PlatformError>> => {
		if (readers.isReader()) {
			return store.readChanges(afterVersion, waitMs);
		}

		let reason = 'all readers are excluded';
		for (const reader of readers.readersToFollow().slice(0, readersPerRead)) {
			const shared = await readFromReader(reader, afterVersion, readerWaitMs); // eslint-disable-line no-await-in-loop
			if (shared.isErr()) {
				readers.avoid(reader.id);
				reason = `reader ${reader.id}: ${shared.error}`;
				continue;
			}

			const {reading, ageMs} = shared.value;
			if (reading === undefined) {
				reason = `reader ${reader.id} does not retain the changes`;
				break;
			}

			if (ageMs <= times().staleAfterMs || reading.rows.length > 0) {
				return ok({...reading, ageMs});
			}

			readers.avoid(reader.id);
			reason = `the copy of reader ${reader.id} is ${Math.round(ageMs)} ms old`;
		}

		return readStoreInstead(() => store.readChanges(afterVersion, 0), reason);
	};

	const readAllOf = async (reader: TableReader): Promise<Result<SharedChanges, string>> => isFirstStart
		? readAllFromReader(reader)
		: firstValueFrom(race(readAllFromReader(reader), timer(restartAnswerMs).pipe(map(() => err(`no answer within ${restartAnswerMs} ms`)))));

	const readAll = async (): Promise<Result<VersionedRows, PlatformError>> => {
		if (readers.isReader()) {
			return store.readAll();
		}

		let hasStartingReader = false;
		for (const reader of readers.readersToFollow().slice(0, isFirstStart ? readersPerRead : 1)) {
			const shared = await readAllOf(reader); // eslint-disable-line no-await-in-loop
			if (shared.isOk() && shared.value.reading !== undefined && shared.value.ageMs <= times().staleAfterMs) {
				return ok({...shared.value.reading, ageMs: shared.value.ageMs});
			}

			if (shared.isErr()) {
				readers.avoid(reader.id);
			}

			hasStartingReader ||= shared.isOk() && shared.value.reading === undefined;
		}

		return isFirstStart && hasStartingReader && clock() - createdAtMs < firstRowsPatienceMs
			? unavailable('no reader has rows yet')
			: readStoreInstead(() => store.readAll(), 'no reader has current rows');
	};

	return {
		readAll: () => new ResultAsync(readAll()),
		readChanges: (afterVersion, waitMs) => new ResultAsync(readChanges(afterVersion, waitMs)),
	};
};
