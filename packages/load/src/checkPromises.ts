/**
 * Sets callers' records against the upstreams' ledgers.
 */
import type {AttemptRecord, RequestRecord} from './callerRecord.js';

/** The parts of a stand-in's ledger that the check needs. */
export type LedgerCounts = {
	readonly runsByKey: Readonly<Record<string, number>>;
	readonly runsByRequestId: Readonly<Record<string, number>>;
};

/** Broken promises by kind, with the ids of the requests. */
export type PromiseCheck = {
	/** Ended without an answer, a refusal or an in-doubt; or answered as done without a run. */
	readonly lost: number;
	/** At-most-once requests that ran twice or more. */
	readonly doubled: number;
	/** Attempts whose answer stopped short. */
	readonly cutOff: number;
	/** Refused as not run, though they ran. */
	readonly notRunButRan: number;
	/** Whole answers to another request. */
	readonly foreign: number;
	/** In doubt, and no entry could say what is known. */
	readonly inDoubtUnasked: number;
	/** Up to twenty broken requests, each as `KIND ID`. */
	readonly examples: readonly string[];
};

const exampleLimit = 20;

/**
 * Adds up the ledgers of several processes.
 *
 * @param ledgers - Their reports.
 * @returns One ledger.
 */
export const mergeLedgers = (ledgers: readonly LedgerCounts[]): LedgerCounts => {
	const runsByKey: Record<string, number> = {};
	const runsByRequestId: Record<string, number> = {};
	for (const ledger of ledgers) {
		for (const [key, runs] of Object.entries(ledger.runsByKey)) {
			runsByKey[key] = (runsByKey[key] ?? 0) + runs;
		}

		for (const [id, runs] of Object.entries(ledger.runsByRequestId)) {
			runsByRequestId[id] = (runsByRequestId[id] ?? 0) + runs;
		}
	}

	return {runsByKey, runsByRequestId};
};

const ran = ({requestId}: AttemptRecord, ledger: LedgerCounts): boolean => (ledger.runsByRequestId[requestId] ?? 0) > 0;

/**
 * A refusal speaks for its own attempt and, under a key, for each attempt before it.
 */
const isFalseRefusal = (record: RequestRecord, ledger: LedgerCounts): boolean => record.attempts
	.some((attempt, index) => attempt.outcome === 'not-run'
		&& (record.key === undefined ? [attempt] : record.attempts.slice(0, index + 1)).some(earlier => ran(earlier, ledger)));

const isLost = (record: RequestRecord, ledger: LedgerCounts): boolean => {
	if (record.outcome === 'no-answer') {
		return true;
	}

	const done = record.outcome === 'answered' && record.status === 200;
	return done && record.key !== undefined && (ledger.runsByKey[record.key] ?? 0) === 0;
};

/**
 * Counts broken promises.
 *
 * @param records - Callers' records.
 * @param ledger - The merged ledger of all upstreams.
 * @returns Counts, all zero where each promise held.
 */
export const checkPromises = (records: readonly RequestRecord[], ledger: LedgerCounts): PromiseCheck => {
	const examples: string[] = [];
	const count = (kind: string, isBroken: (record: RequestRecord) => boolean): number => {
		const broken = records.filter(record => isBroken(record));
		examples.push(...broken.map(({id}) => `${kind} ${id}`));
		return broken.length;
	};

	const countAttempts = (kind: string, outcome: AttemptRecord['outcome']): number => {
		const hits = records.flatMap(({id, attempts}) => attempts.filter(attempt => attempt.outcome === outcome).map(() => id));
		examples.push(...hits.map(id => `${kind} ${id}`));
		return hits.length;
	};

	return {
		lost: count('lost', record => isLost(record, ledger)),
		doubled: count('doubled', ({key}) => key !== undefined && (ledger.runsByKey[key] ?? 0) > 1),
		cutOff: countAttempts('cutOff', 'cut-off'),
		notRunButRan: count('notRunButRan', record => isFalseRefusal(record, ledger)),
		foreign: countAttempts('foreign', 'foreign'),
		inDoubtUnasked: count('inDoubtUnasked', ({outcome, askable}) => outcome === 'in-doubt' && askable !== true),
		examples: examples.slice(0, exampleLimit),
	};
};
