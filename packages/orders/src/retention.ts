/**
 * Removes rows and kept answers of orders past their retention. One process does so at a time; each
 * removal checks the lease in its transaction.
 *
 * The retention must be far longer than the time in which callers resend and than the clock skew
 * between instances: once its row is removed, a key counts as new.
 */
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Row, RowCheck, Table} from '@filbertwell/platform/table';
import {err, ok, type Result} from 'neverthrow';
import {orderRowPrefix, parseOrderRow} from './orderRow.js';

export type RetentionOptions = {
	readonly table: Table;
	readonly objects: ObjectStore | undefined;
	readonly log: Logger;
	/** Wall clock in milliseconds. */
	readonly wallClock: () => number;
	readonly retentionMs: number;
	/** Row check that succeeds only while this process holds the lease; `undefined` once the lease is known to be lost. */
	readonly fence: () => RowCheck | undefined;
	/** Awaited between two pages, so that the clean-up leaves capacity of the table to requests. */
	readonly pause: () => Promise<void>;
};

/** Number of rows seen and removed in a pass. */
export type RetentionResult = {
	readonly seen: number;
	readonly removed: number;
	/** Whether the pass ended because the lease was lost. */
	readonly leaseLost: boolean;
};

/** Rows in one scan. A transaction removes at most this many rows and has one more check, that of the lease; both numbers stay below the platform's limit. */
const rowsPerPage = 90;

const isExpired = (row: Row, nowMs: number, retentionMs: number): boolean => parseOrderRow(row).row.claimedAt + retentionMs < nowMs;

const objectKeyOf = (stored: Row): string | undefined => {
	const {row} = parseOrderRow(stored);
	return row.state === 'done' && row.kept.kind === 'object' ? row.kept.objectKey : undefined;
};

/**
 * Scans all rows of orders once and removes those past their retention.
 *
 * @param options - Table, retention and lease.
 * @returns Number of rows seen and removed, or the error of a failed table call.
 */
export const removeExpiredOrders = async ({table, objects, log, wallClock, retentionMs, fence, pause}: RetentionOptions): Promise<Result<RetentionResult, PlatformError>> => {
	let after = '';
	let seen = 0;
	let removed = 0;

	const removeObjects = async (rows: readonly Row[]): Promise<void> => {
		const keys = rows.map(row => objectKeyOf(row)).filter(key => key !== undefined);
		await Promise.all(keys.map(async key => objects?.remove(key)));
	};

	for (;;) {
		const page = await table.scan({prefix: orderRowPrefix, after, limit: rowsPerPage}); // eslint-disable-line no-await-in-loop -- pages are processed in order
		if (page.isErr()) {
			return err(page.error);
		}

		for (const {key} of page.value.filter(row => parseOrderRow(row).row.state === 'damaged')) {
			log(ordersEvents.rowDamaged, {row: key});
		}

		const expired = page.value.filter(row => isExpired(row, wallClock(), retentionMs));
		const check = fence();
		if (check === undefined) {
			return ok({seen, removed, leaseLost: true});
		}

		seen += page.value.length;
		if (expired.length > 0) {
			const result = await table.transact({ // eslint-disable-line no-await-in-loop -- pages are processed in order
				checks: [check, ...expired.map(({key, revision}) => ({key, revision}))],
				writes: expired.map(({key}) => ({key, value: undefined})),
			});
			if (result.isErr()) {
				return err(result.error);
			}

			if (result.value.kind === 'committed') {
				removed += expired.length;
				await removeObjects(expired); // eslint-disable-line no-await-in-loop -- pages are processed in order
			} else if (fence() === undefined || result.value.rows.some(row => row.key === check.key && row.revision !== check.revision)) {
				return ok({seen, removed, leaseLost: true});
			}
		}

		if (page.value.length < rowsPerPage) {
			log(ordersEvents.rowsRemoved, {seen, removed});
			return ok({seen, removed, leaseLost: false});
		}

		after = page.value.at(-1)!.key;
		await pause(); // eslint-disable-line no-await-in-loop -- pages are processed in order
	}
};
