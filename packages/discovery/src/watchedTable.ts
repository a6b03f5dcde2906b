/**
 * A table whose changes can be followed.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {ResultAsync} from 'neverthrow';

/** A row, or the removal of one. */
export type WatchedRow = {
	readonly key: string;
	/** `undefined` where the row was removed. */
	readonly value: string | undefined;
};

/** Rows as of one version of the table. */
export type TableReading = {
	readonly rows: readonly WatchedRow[];
	/** Rises with each change of any table. */
	readonly version: number;
	/** Milliseconds since the rows were known to be current; absent where they come from the table itself. */
	readonly ageMs?: number;
};

/** A table whose changes can be followed. */
export type WatchedTable = {
	/** Reads all rows. */
	readonly readAll: () => ResultAsync<TableReading, PlatformError>;
	/**
	 * Reads what changed after a version, waiting for the first change; `undefined` where the
	 * changes since then are no longer kept.
	 */
	readonly readChanges: (afterVersion: number, waitMs: number) => ResultAsync<TableReading | undefined, PlatformError>;
};
