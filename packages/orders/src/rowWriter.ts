/**
 * Batches conditional writes of single rows into transactions. While the rate limit delays the next
 * transaction, writes accumulate, so that the rate of rows can be many times that of transactions.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {
	Row, RowCheck, RowWrite, Table, TransactionResult,
} from '@filbertwell/platform/table';
import type {Clock} from '@filbertwell/utils/clock';
import {createTokenBucket} from '@filbertwell/utils/tokenBucket';
import {err, ok, type Result} from 'neverthrow';
import type {OrderLimits} from './orderLimits.js';

/** A conditional write of one row. */
export type ConditionalWrite = {
	readonly check: RowCheck;
	readonly write: RowWrite;
};

/** Result of a conditional write, with the current row; `undefined` if there is none. */
export type RowOutcome = {
	readonly kind: 'committed' | 'conflict';
	readonly row: Row | undefined;
};

/** Writes rows in batches. */
export type RowWriter = {
	readonly write: (write: ConditionalWrite) => Promise<Result<RowOutcome, PlatformError>>;
	/** Number of writes waiting for a transaction. */
	readonly queued: () => number;
	/** Number of transactions sent so far. */
	readonly transactions: () => number;
};

type PendingWrite = ConditionalWrite & {
	readonly resolve: (outcome: Result<RowOutcome, PlatformError>) => void;
};

const millisecondsPerSecond = 1000;
/** Maximum total length of a batch's values; it keeps a batch of large answers well below the request size that the table rejects. */
const maximumBatchLength = 1_000_000;

const revisionOf = (row: Row | undefined): number => row?.revision ?? 0;

/**
 * Creates a writer. A failed transaction fails each of its writes.
 *
 * @param table - The table.
 * @param limits - Rate, size and concurrency of transactions, and the length of the queue.
 * @param clock - Monotonic clock in milliseconds.
 * @returns The writer.
 */
export const createRowWriter = (table: Table, limits: OrderLimits, clock: Clock): RowWriter => {
	const {transactionsPerSecond, maximumTransactions, maximumRows, maximumQueuedWrites} = limits;
	const bucket = createTokenBucket(clock, {tokensPerSecond: transactionsPerSecond, burst: Math.max(1, transactionsPerSecond / 4)});
	let queue: PendingWrite[] = [];
	let inProgress = 0;
	let isFlushScheduled = false;
	let transactions = 0;

	/** Takes the next batch from the queue, with at most one write for each row. */
	const takeBatch = (): PendingWrite[] => {
		const batch: PendingWrite[] = [];
		const remaining: PendingWrite[] = [];
		const keys = new Set<string>();
		let length = 0;
		for (const pending of queue) {
			const valueLength = pending.write.value?.length ?? 0;
			const isWithinLimits = batch.length === 0 || (batch.length < maximumRows && length + valueLength <= maximumBatchLength);
			if (isWithinLimits && !keys.has(pending.check.key)) {
				keys.add(pending.check.key);
				length += valueLength;
				batch.push(pending);
			} else {
				remaining.push(pending);
			}
		}

		queue = remaining;
		return batch;
	};

	const settleCommitted = (batch: readonly PendingWrite[], rows: readonly Row[]): void => {
		const byKey = new Map(rows.map(row => [row.key, row]));
		for (const {write, resolve} of batch) {
			resolve(ok({kind: 'committed', row: byKey.get(write.key)}));
		}
	};

	/** A failed check fails the whole transaction: its write reports a conflict, the other writes are sent again. */
	const settleConflict = (batch: readonly PendingWrite[], rows: readonly Row[]): void => {
		const byKey = new Map(rows.map(row => [row.key, row]));
		const retries: PendingWrite[] = [];
		for (const pending of batch) {
			const row = byKey.get(pending.check.key);
			if (revisionOf(row) === pending.check.revision) {
				retries.push(pending);
			} else {
				pending.resolve(ok({kind: 'conflict', row}));
			}
		}

		queue.unshift(...retries);
	};

	const settle = (batch: readonly PendingWrite[], result: Result<TransactionResult, PlatformError>): void => {
		if (result.isErr()) {
			for (const {resolve} of batch) {
				resolve(err(result.error));
			}

			return;
		}

		if (result.value.kind === 'committed') {
			settleCommitted(batch, result.value.rows);
		} else {
			settleConflict(batch, result.value.rows);
		}
	};

	const send = async (batch: readonly PendingWrite[]): Promise<void> => {
		inProgress += 1;
		transactions += 1;
		const result = await table.transact({checks: batch.map(({check}) => check), writes: batch.map(({write}) => write)});
		inProgress -= 1;
		settle(batch, result);
		schedule();
	};

	const flush = (): void => {
		isFlushScheduled = false;
		const startableCount = Math.min(maximumTransactions - inProgress, Math.ceil(queue.length / maximumRows) + 1);
		for (let started = 0; started < startableCount && queue.length > 0; started += 1) {
			if (!bucket.tryTake(1)) {
				scheduleLater();
				return;
			}

			void send(takeBatch());
		}
	};

	/** Flushes after the current turn of the event loop, so that all writes of the turn share a batch. */
	const schedule = (): void => {
		if (!isFlushScheduled && queue.length > 0) {
			isFlushScheduled = true;
			setImmediate(flush);
		}
	};

	const scheduleLater = (): void => {
		isFlushScheduled = true;
		setTimeout(flush, Math.ceil(((1 - bucket.level()) * millisecondsPerSecond) / transactionsPerSecond));
	};

	return {
		async write(write) {
			if (queue.length >= maximumQueuedWrites) {
				return err({kind: 'unavailable', operation: 'orders.write', detail: `${maximumQueuedWrites} writes of orders wait already`});
			}

			return new Promise(resolve => {
				queue.push({...write, resolve});
				schedule();
			});
		},
		queued: () => queue.length,
		transactions: () => transactions,
	};
};
