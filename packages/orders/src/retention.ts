/**
 * Removes rows and kept answers of orders past their retention. One process at a time does so,
 * under a lease whose fence is part of each removal.
 *
 * The retention must be far longer than callers resend and than clocks of instances differ:
 * once its row is gone, a key counts as new.
 */
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Row, RowCheck, Table} from '@filbertwell/platform/table';
import {err, ok, type Result} from 'neverthrow';
import {orderRowPrefix, parseOrderRow} from './orderRow.js';

/** Parameters of one pass. */
export type RetentionOptions = {
	readonly table: Table;
	readonly objects: ObjectStore | undefined;
	readonly log: Logger;
	/** Wall-clock milliseconds. */
	readonly wallClock: () => number;
	readonly retentionMs: number;
	/** The check that holds only while this process has the lease; `undefined` once it has not. */
	readonly fence: () => RowCheck | undefined;
	/** Called between pages, so that clean-up never takes the table from requests. */
	readonly pause: () => Promise<void>;
};

/** What a pass did. */
export type RetentionResult = {
	readonly seen: number;
	readonly removed: number;
	/** Whether the pass ended because the lease was lost. */
	readonly leaseLost: boolean;
};

/** Rows in one scan; a transaction takes as many removals and one check more. */
const pageRows = 90;

const isExpired = (row: Row, nowMs: number, retentionMs: number): boolean => parseOrderRow(row).row.claimedAt + retentionMs < nowMs;

const objectKeyOf = (stored: Row): string | undefined => {
	const {row} = parseOrderRow(stored);
	return row.state === 'done' && row.kept.kind === 'object' ? row.kept.objectKey : undefined;
};

/**
 * Goes once over all rows of orders.
 *
 * @param options - Table, retention and lease.
 * @returns What was removed, or why the table did not answer.
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
		const page = await table.scan({prefix: orderRowPrefix, after, limit: pageRows}); // eslint-disable-line no-await-in-loop -- one page after another
		if (page.isErr()) {
			return err(page.error);
		}

		const expired = page.value.filter(row => isExpired(row, wallClock(), retentionMs));
		const check = fence();
		if (check === undefined) {
			return ok({seen, removed, leaseLost: true});
		}

		seen += page.value.length;
		if (expired.length > 0) {
			const result = await table.transact({ // eslint-disable-line no-await-in-loop -- one page after another
				checks: [check, ...expired.map(({key, revision}) => ({key, revision}))],
				writes: expired.map(({key}) => ({key, value: undefined})),
			});
			if (result.isErr()) {
				return err(result.error);
			}

			if (result.value.kind === 'committed') {
				removed += expired.length;
				await removeObjects(expired); // eslint-disable-line no-await-in-loop -- one page after another
			} else if (fence() === undefined || result.value.rows.some(row => row.key === check.key && row.revision !== check.revision)) {
				return ok({seen, removed, leaseLost: true});
			}
		}

		if (page.value.length < pageRows) {
			log(ordersEvents.rowsRemoved, {seen, removed});
			return ok({seen, removed, leaseLost: false});
		}

		after = page.value.at(-1)!.key;
		await pause(); // eslint-disable-line no-await-in-loop -- one page after another
	}
};
