/**
 * Checks the delivery guarantees by comparing callers' records with the upstreams' ledgers.
 */
import type {AttemptRecord, RequestRecord} from './callerRecord.js';

/** The parts of an upstream stand-in's ledger that the check uses. */
export type LedgerCounts = {
	/** Number of runs by idempotency key. */
	readonly runsByKey: Readonly<Record<string, number>>;
	/** Number of runs by request id, which differs for each attempt. */
	readonly runsByRequestId: Readonly<Record<string, number>>;
};

/** Number of violations of each guarantee, with examples. */
export type PromiseCheck = {
	/** Requests with the outcome `no-answer`, and requests that were answered with status 200 although their key never ran. */
	readonly lost: number;
	/** At-most-once requests that ran more than once. */
	readonly doubled: number;
	/** Attempts with an incomplete response. */
	readonly cutOff: number;
	/** Requests that were refused as not run although they ran. */
	readonly notRunButRan: number;
	/** Attempts with a complete response to another request. */
	readonly foreign: number;
	/** In-doubt requests for which no entry reported a state. */
	readonly inDoubtUnasked: number;
	/** Up to 20 violations, each as `KIND ID`. */
	readonly examples: readonly string[];
};

const maximumExamples = 20;

/**
 * Merges the ledgers of several processes by adding their counts.
 *
 * @param ledgers - Ledgers of the processes.
 * @returns The merged ledger.
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

const hasRun = ({requestId}: AttemptRecord, ledger: LedgerCounts): boolean => (ledger.runsByRequestId[requestId] ?? 0) > 0;

/**
 * A refusal states that its own attempt did not run and, with an idempotency key, that no earlier attempt did either.
 */
const isFalseRefusal = (record: RequestRecord, ledger: LedgerCounts): boolean => record.attempts
	.some((attempt, index) => attempt.outcome === 'not-run'
		&& (record.key === undefined ? [attempt] : record.attempts.slice(0, index + 1)).some(earlier => hasRun(earlier, ledger)));

const isLost = (record: RequestRecord, ledger: LedgerCounts): boolean => {
	if (record.outcome === 'no-answer') {
		return true;
	}

	const isDone = record.outcome === 'answered' && record.status === 200;
	return isDone && record.key !== undefined && (ledger.runsByKey[record.key] ?? 0) === 0;
};

/**
 * Counts the violations of the delivery guarantees.
 *
 * @param records - Records of all requests.
 * @param ledger - Merged ledger of all upstreams.
 * @returns The counts, all 0 if each guarantee was kept.
 */
export const checkGuarantees = (records: readonly RequestRecord[], ledger: LedgerCounts): PromiseCheck => {
	const examples: string[] = [];
	const countRequests = (kind: string, isViolation: (record: RequestRecord) => boolean): number => {
		const violations = records.filter(record => isViolation(record));
		examples.push(...violations.map(({id}) => `${kind} ${id}`));
		return violations.length;
	};

	const countAttempts = (kind: string, outcome: AttemptRecord['outcome']): number => {
		const requestIds = records.flatMap(({id, attempts}) => attempts.filter(attempt => attempt.outcome === outcome).map(() => id));
		examples.push(...requestIds.map(id => `${kind} ${id}`));
		return requestIds.length;
	};

	return {
		lost: countRequests('lost', record => isLost(record, ledger)),
		doubled: countRequests('doubled', ({key}) => key !== undefined && (ledger.runsByKey[key] ?? 0) > 1),
		cutOff: countAttempts('cutOff', 'cut-off'),
		notRunButRan: countRequests('notRunButRan', record => isFalseRefusal(record, ledger)),
		foreign: countAttempts('foreign', 'foreign'),
		inDoubtUnasked: countRequests('inDoubtUnasked', ({outcome, isStateKnown}) => outcome === 'in-doubt' && isStateKnown !== true),
		examples: examples.slice(0, maximumExamples),
	};
};
