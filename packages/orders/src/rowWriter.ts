/**
 * Groups conditional writes of single rows into few transactions. While transactions are at
 * their rate limit, writes gather, so that the rate of rows can be many times that of transactions.
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

/** Its outcome with the row as it is now. */
export type RowOutcome = {
	readonly kind: 'committed' | 'conflict';
	readonly row: Row | undefined;
};

/** Writes rows in groups. */
export type RowWriter = {
	readonly write: (write: ConditionalWrite) => Promise<Result<RowOutcome, PlatformError>>;
	/** Writes that wait for a transaction. */
	readonly queued: () => number;
	/** Transactions sent so far. */
	readonly transactions: () => number;
};

type Pending = ConditionalWrite & {
	readonly resolve: (outcome: Result<RowOutcome, PlatformError>) => void;
};

const millisecondsPerSecond = 1000;
/** Keeps a group of large answers well under a request that the table refuses. */
const maximumGroupLength = 1_000_000;

const revisionOf = (row: Row | undefined): number => row?.revision ?? 0;

/**
 * Creates a writer.
 *
 * @param table - The table.
 * @param limits - Rate, size and number of transactions, and the bound of the queue.
 * @param clock - Monotonic milliseconds.
 * @returns The writer.
 */
export const createRowWriter = (table: Table, limits: OrderLimits, clock: Clock): RowWriter => {
	const {transactionsPerSecond, maximumTransactions, maximumRows, maximumQueuedWrites} = limits;
	const bucket = createTokenBucket(clock, {tokensPerSecond: transactionsPerSecond, burst: Math.max(1, transactionsPerSecond / 4)});
	let queue: Pending[] = [];
	let inProgress = 0;
	let scheduled = false;
	let transactions = 0;

	/** Takes the next writes, at most one for each row. */
	const takeGroup = (): Pending[] => {
		const group: Pending[] = [];
		const later: Pending[] = [];
		const keys = new Set<string>();
		let length = 0;
		for (const pending of queue) {
			const valueLength = pending.write.value?.length ?? 0;
			const fits = group.length === 0 || (group.length < maximumRows && length + valueLength <= maximumGroupLength);
			if (fits && !keys.has(pending.check.key)) {
				keys.add(pending.check.key);
				length += valueLength;
				group.push(pending);
			} else {
				later.push(pending);
			}
		}

		queue = later;
		return group;
	};

	const settleCommitted = (group: readonly Pending[], rows: readonly Row[]): void => {
		const byKey = new Map(rows.map(row => [row.key, row]));
		for (const {write, resolve} of group) {
			resolve(ok({kind: 'committed', row: byKey.get(write.key)}));
		}
	};

	/** One failed check fails the whole transaction: those writes end, the others go again. */
	const settleConflict = (group: readonly Pending[], rows: readonly Row[]): void => {
		const byKey = new Map(rows.map(row => [row.key, row]));
		const again: Pending[] = [];
		for (const pending of group) {
			const row = byKey.get(pending.check.key);
			if (revisionOf(row) === pending.check.revision) {
				again.push(pending);
			} else {
				pending.resolve(ok({kind: 'conflict', row}));
			}
		}

		queue.unshift(...again);
	};

	const settle = (group: readonly Pending[], result: Result<TransactionResult, PlatformError>): void => {
		if (result.isErr()) {
			for (const {resolve} of group) {
				resolve(err(result.error));
			}

			return;
		}

		if (result.value.kind === 'committed') {
			settleCommitted(group, result.value.rows);
		} else {
			settleConflict(group, result.value.rows);
		}
	};

	const send = async (group: readonly Pending[]): Promise<void> => {
		inProgress += 1;
		transactions += 1;
		const result = await table.transact({checks: group.map(({check}) => check), writes: group.map(({write}) => write)});
		inProgress -= 1;
		settle(group, result);
		schedule();
	};

	const flush = (): void => {
		scheduled = false;
		const startable = Math.min(maximumTransactions - inProgress, Math.ceil(queue.length / maximumRows) + 1);
		for (let started = 0; started < startable && queue.length > 0; started += 1) {
			if (!bucket.tryTake(1)) {
				scheduleLater();
				return;
			}

			void send(takeGroup());
		}
	};

	/** Gathers what comes in the same turn of the event loop. */
	const schedule = (): void => {
		if (!scheduled && queue.length > 0) {
			scheduled = true;
			setImmediate(flush);
		}
	};

	const scheduleLater = (): void => {
		scheduled = true;
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
