/**
 * The two table operations of the claim protocol: read a row and write it conditionally.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Table} from '@filbertwell/platform/table';
import {err, ok, type Result} from 'neverthrow';
import {
	parseOrderRow, type OrderRow, type StoredOrder, serializeOrderRow,
} from './orderRow.js';
import type {RowWriter} from './rowWriter.js';

/** Result of a conditional write of one row; on a conflict, with the current row or `undefined` if there is none. */
export type WriteOutcome =
	| {readonly kind: 'written'; readonly revision: number}
	| {readonly kind: 'conflict'; readonly current: StoredOrder | undefined};

/** Reads and writes rows of orders. */
export type OrderTable = {
	readonly read: (rowKey: string) => Promise<Result<StoredOrder | undefined, PlatformError>>;
	/** Writes a row if it still has this revision; 0 means that it must not exist. */
	readonly write: (rowKey: string, revision: number, row: OrderRow) => Promise<Result<WriteOutcome, PlatformError>>;
};

/**
 * Creates the operations on a table.
 *
 * @param table - Table that is read directly.
 * @param writer - Writer that batches writes into transactions.
 * @returns The operations.
 */
export const createOrderTable = (table: Table, writer: RowWriter): OrderTable => ({
	async read(rowKey) {
		const read = await table.read(rowKey);
		return read.map(row => row && parseOrderRow(row));
	},
	async write(rowKey, revision, row) {
		const written = await writer.write({check: {key: rowKey, revision}, write: {key: rowKey, value: serializeOrderRow(row)}});
		if (written.isErr()) {
			return err(written.error);
		}

		const {kind, row: current} = written.value;
		if (kind === 'conflict') {
			return ok({kind, current: current && parseOrderRow(current)});
		}

		return ok({kind: 'written', revision: current?.revision ?? 0});
	},
});
