/**
 * Interface of the platform's transactional table service.
 */
import type {ResultAsync} from 'neverthrow';
import type {PlatformError} from './platformError.js';

/** A row of the table. */
export type Row = {
	readonly key: string;
	readonly value: string;
	/** Increases with each write of the row; 0 stands for an absent row. */
	readonly revision: number;
};

/** A condition of a transaction: the row has this revision; 0 means that the row must not exist. */
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
 * `committed`: all writes took effect; `rows` are the written rows without deleted ones.
 * `conflict`: a check failed and nothing was written; `rows` are the checked rows that exist, with
 * their current values.
 */
export type TransactionResult =
	| {readonly kind: 'committed'; readonly rows: readonly Row[]}
	| {readonly kind: 'conflict'; readonly rows: readonly Row[]};

/** Range of a scan. */
export type Scan = {
	readonly prefix: string;
	/** Only keys greater than this one are returned; empty for all. */
	readonly after: string;
	readonly limit: number;
};

/** The table service. */
export type Table = {
	/** Reads a row; `undefined` if it does not exist. */
	readonly read: (key: string) => ResultAsync<Row | undefined, PlatformError>;
	/** Reads rows in key order; returns at most `limit` rows, and never more than `maximumScanRows`. */
	readonly scan: (scan: Scan) => ResultAsync<readonly Row[], PlatformError>;
	/** Applies a transaction; after the error `unknown` it may have been committed. */
	readonly transact: (transaction: Transaction) => ResultAsync<TransactionResult, PlatformError>;
};
