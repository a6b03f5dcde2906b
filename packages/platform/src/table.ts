/**
 * The platform's transactional table service.
 */
import type {ResultAsync} from 'neverthrow';
import type {PlatformError} from './platformError.js';

/** A row of the table. */
export type Row = {
	readonly key: string;
	readonly value: string;
	/** Rises with each write of the row; 0 stands for an absent row. */
	readonly revision: number;
};

/** A condition of a transaction: the row has this revision (0: it is absent). */
export type RowCheck = {
	readonly key: string;
	readonly revision: number;
};

/** A write of a transaction; `undefined` deletes the row. */
export type RowWrite = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Checks and writes that take effect together or not at all. */
export type Transaction = {
	readonly checks: readonly RowCheck[];
	readonly writes: readonly RowWrite[];
};

/**
 * `committed`: all writes took effect. `conflict`: a check failed and nothing was written;
 * the rows that were checked come back as they are now.
 */
export type TransactionResult =
	| {readonly kind: 'committed'; readonly rows: readonly Row[]}
	| {readonly kind: 'conflict'; readonly rows: readonly Row[]};

/** Limits of a scan. */
export type Scan = {
	readonly prefix: string;
	/** Only keys after this one; empty for all. */
	readonly after: string;
	readonly limit: number;
};

/** The table service. */
export type Table = {
	/** Reads a row; `undefined` where it is absent. */
	readonly read: (key: string) => ResultAsync<Row | undefined, PlatformError>;
	/** Reads rows in key order. */
	readonly scan: (scan: Scan) => ResultAsync<readonly Row[], PlatformError>;
	readonly transact: (transaction: Transaction) => ResultAsync<TransactionResult, PlatformError>;
};
