/**
 * Writes the outcomes of claimed requests to the table in the background, with retries while the
 * table is unavailable. A claim whose outcome is never written stays in doubt, which is safe.
 */
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Random} from '@filbertwell/utils/random';
import type {OrderLimits} from './orderLimits.js';
import type {OrderRow, StoredOrder} from './orderRow.js';
import type {OrderTable} from './orderTable.js';

/** Outcome of a claimed request, to be written to its row. */
export type Outcome = {
	readonly rowKey: string;
	/** Revision of the claim, or of the row that it replaces if its write may not have taken effect. */
	readonly revision: number;
	/** The row to write, with the token of the claim. */
	readonly row: OrderRow;
};

export type OutcomeWriterOptions = {
	readonly table: OrderTable;
	readonly limits: OrderLimits;
	readonly random: Random;
	readonly log: Logger;
	/** Waits for the given time, or less if the process stops; returns whether to continue. */
	readonly wait: (milliseconds: number) => Promise<boolean>;
};

/** Writes outcomes in the background. */
export type OutcomeWriter = {
	readonly write: (outcome: Outcome) => void;
	/** Writes an outcome once its promise resolves. */
	readonly writeWhenReady: (outcomePromise: Promise<Outcome>) => void;
	readonly pending: () => number;
	/** Resolves when no outcome is pending. */
	readonly idle: () => Promise<void>;
};

type WriteResult = 'finished' | 'again' | {readonly revision: number};

/** After a conflict, repeats the write with the current revision if the row is absent or still has this attempt's claim. */
const afterConflict = (row: OrderRow, current: StoredOrder | undefined): WriteResult => {
	if (current === undefined) {
		return {revision: 0};
	}

	const isOwnToken = current.row.token === row.token;
	return isOwnToken && current.row.state === 'claimed' && current.row.inDoubt === undefined
		? {revision: current.revision}
		: 'finished';
};

/**
 * Creates a writer that repeats failed writes with exponential backoff.
 *
 * @param options - Table, limits and the function that waits.
 * @returns The writer; it drops outcomes beyond `maximumPendingOutcomes`.
 */
export const createOutcomeWriter = ({table, limits, random, log, wait}: OutcomeWriterOptions): OutcomeWriter => {
	const pending = new Set<Promise<void>>();

	const tryWrite = async (rowKey: string, revision: number, row: OrderRow): Promise<WriteResult> => {
		const written = await table.write(rowKey, revision, row);
		if (written.isErr()) {
			const {kind, detail} = written.error;
			if (kind === 'invalid') {
				log(ordersEvents.outcomeDropped, {row: rowKey, state: row.state, detail});
			}

			return kind === 'invalid' ? 'finished' : 'again';
		}

		return written.value.kind === 'written' ? 'finished' : afterConflict(row, written.value.current);
	};

	const writeUntilDone = async ({rowKey, revision, row}: Outcome): Promise<void> => {
		let expectedRevision = revision;
		let retryMs = limits.firstOutcomeRetryMs;
		for (;;) {
			const result = await tryWrite(rowKey, expectedRevision, row); // eslint-disable-line no-await-in-loop -- each try depends on the previous one
			if (result === 'finished') {
				return;
			}

			if (result !== 'again') {
				expectedRevision = result.revision;
				continue;
			}

			log(ordersEvents.outcomeDelayed, {row: rowKey, state: row.state, retryMs});
			const shouldContinue = await wait(retryMs * (0.5 + random())); // eslint-disable-line no-await-in-loop -- each try depends on the previous one
			if (!shouldContinue) {
				log(ordersEvents.outcomeDropped, {row: rowKey, state: row.state});
				return;
			}

			retryMs = Math.min(limits.maximumOutcomeRetryMs, retryMs * 2);
		}
	};

	const track = async (writing: Promise<void>): Promise<void> => {
		pending.add(writing);
		await writing;
		pending.delete(writing);
	};

	const writeWhenReady = async (outcomePromise: Promise<Outcome>): Promise<void> => {
		const outcome = await outcomePromise;
		if (pending.size > limits.maximumPendingOutcomes) {
			log(ordersEvents.outcomeDropped, {row: outcome.rowKey, state: outcome.row.state});
			return;
		}

		await writeUntilDone(outcome);
	};

	return {
		write(outcome) {
			void track(writeWhenReady(Promise.resolve(outcome)));
		},
		writeWhenReady(outcomePromise) {
			void track(writeWhenReady(outcomePromise));
		},
		pending: () => pending.size,
		async idle() {
			while (pending.size > 0) {
				await Promise.all(pending); // eslint-disable-line no-await-in-loop -- more may have been added meanwhile
			}
		},
	};
};
