/**
 * Interface of a versioned table whose changes can be watched.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {ResultAsync} from 'neverthrow';

/** A row or the removal of a row. */
export type WatchedRow = {
	readonly key: string;
	/** `undefined` for a removed row. */
	readonly value: string | undefined;
};

/** Rows as of one version of the table: either all rows or the changed ones. */
export type VersionedRows = {
	readonly rows: readonly WatchedRow[];
	/** Increases with each change of any table of the store. */
	readonly version: number;
	/** Milliseconds since the rows were last known to be current; absent if they were read from the table itself. */
	readonly ageMs?: number;
};

/** A table whose changes can be watched. */
export type WatchedTable = {
	/** Reads all rows. */
	readonly readAll: () => ResultAsync<VersionedRows, PlatformError>;
	/**
	 * Reads the rows that changed after a version. Waits up to `waitMs` for the first change; without one the result has
	 * no rows. The result is `undefined` if the changes since the version are no longer retained.
	 */
	readonly readChanges: (afterVersion: number, waitMs: number) => ResultAsync<VersionedRows | undefined, PlatformError>;
};
