/**
 * Writes what became of claims to the table in the background, and goes on while it is down.
 * An outcome that is never written leaves its claim in doubt, which is safe.
 */
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Random} from '@filbertwell/utils/random';
import type {OrderLimits} from './orderLimits.js';
import type {OrderRow, StoredOrder} from './orderRow.js';
import type {OrderTable} from './orderTable.js';

/** An outcome to write. */
export type Outcome = {
	readonly rowKey: string;
	/** Revision of our claim, or of what it was to replace where the claim may not have landed. */
	readonly revision: number;
	/** The row to write; it carries the claim's token. */
	readonly row: OrderRow;
};

/** Parameters of the writer. */
export type OutcomeWriterOptions = {
	readonly table: OrderTable;
	readonly limits: OrderLimits;
	readonly random: Random;
	readonly log: Logger;
	/** Waits some milliseconds, or less once the process stops; returns whether to go on. */
	readonly wait: (milliseconds: number) => Promise<boolean>;
};

/** Writes outcomes. */
export type OutcomeWriter = {
	readonly write: (outcome: Outcome) => void;
	/** Writes an outcome that is still being prepared. */
	readonly writePrepared: (preparing: Promise<Outcome>) => void;
	readonly pending: () => number;
	/** Settles when nothing is pending. */
	readonly idle: () => Promise<void>;
};

type Attempt = 'finished' | 'again' | {readonly revision: number};

/** What to do after a conflict: our claim under another revision is still ours to finish. */
const afterConflict = (row: OrderRow, current: StoredOrder | undefined): Attempt => {
	if (current === undefined) {
		return {revision: 0};
	}

	const ours = current.row.token === row.token;
	return ours && current.row.state === 'claimed' && current.row.inDoubt === undefined
		? {revision: current.revision}
		: 'finished';
};

/**
 * Creates a writer.
 *
 * @param options - Table, limits and waiting.
 * @returns The writer.
 */
export const createOutcomeWriter = ({table, limits, random, log, wait}: OutcomeWriterOptions): OutcomeWriter => {
	const pending = new Set<Promise<void>>();

	const tryOnce = async (rowKey: string, revision: number, row: OrderRow): Promise<Attempt> => {
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
		let expected = revision;
		let retryMs = limits.firstOutcomeRetryMs;
		for (;;) {
			const attempt = await tryOnce(rowKey, expected, row); // eslint-disable-line no-await-in-loop -- each try depends on the last
			if (attempt === 'finished') {
				return;
			}

			if (attempt !== 'again') {
				expected = attempt.revision;
				continue;
			}

			log(ordersEvents.outcomeDelayed, {row: rowKey, state: row.state, retryMs});
			const goOn = await wait(retryMs * (0.5 + random())); // eslint-disable-line no-await-in-loop -- each try depends on the last
			if (!goOn) {
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

	const writePrepared = async (preparing: Promise<Outcome>): Promise<void> => {
		const outcome = await preparing;
		if (pending.size > limits.maximumPendingOutcomes) {
			log(ordersEvents.outcomeDropped, {row: outcome.rowKey, state: outcome.row.state});
			return;
		}

		await writeUntilDone(outcome);
	};

	return {
		write(outcome) {
			void track(writePrepared(Promise.resolve(outcome)));
		},
		writePrepared(preparing) {
			void track(writePrepared(preparing));
		},
		pending: () => pending.size,
		async idle() {
			while (pending.size > 0) {
				await Promise.all(pending); // eslint-disable-line no-await-in-loop -- more may have come meanwhile
			}
		},
	};
};
