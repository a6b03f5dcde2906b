/**
 * Ledger of upstream stand-ins: records each request that starts to run.
 * Callers' records are compared with it, so the counts include every run and nothing is inferred.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** How a run ended. */
export type RunEnd = 'running' | 'completed' | 'cancelled';

/** A request that started to run. Times are monotonic milliseconds of the stand-in's clock. */
export type Run = {
	readonly endpoint: string;
	readonly requestId: string | undefined;
	readonly key: string | undefined;
	readonly startedAtMs: number;
	readonly endedAtMs: number | undefined;
	readonly end: RunEnd;
	/** Bytes of the request's body. */
	readonly requestBytes: number;
};

/** Fields of a run that are available when it starts. */
export type RunStart = Pick<Run, 'endpoint' | 'requestId' | 'key' | 'requestBytes'>;

/** Body of the response to `GET /ledger`. */
export type LedgerReport = {
	readonly counts: {
		readonly started: number;
		readonly completed: number;
		readonly cancelled: number;
		readonly refused: number;
	};
	/** Number of runs by idempotency key. */
	readonly runsByKey: Readonly<Record<string, number>>;
	/** Number of runs by request id. */
	readonly runsByRequestId: Readonly<Record<string, number>>;
};

/** Ledger shared by the endpoints of one process. */
export type UpstreamLedger = {
	/** Records the start of a run; the returned function records its end. */
	readonly start: (run: RunStart) => (end: 'completed' | 'cancelled') => void;
	/** Counts a request that was rejected as not run. */
	readonly refuse: () => void;
	readonly report: () => LedgerReport;
	/** The most recent runs, oldest first; at most 20,000. */
	readonly runs: () => readonly Run[];
	readonly clear: () => void;
};

/** Number of full records that are retained; the counts cover all runs. */
const maximumRetainedRuns = 20_000;

const incrementCount = (counts: Map<string, number>, name: string | undefined): void => {
	if (name !== undefined) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}
};

/**
 * Creates an empty ledger.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The ledger.
 */
export const createUpstreamLedger = (clock: Clock): UpstreamLedger => {
	let runs: Run[] = [];
	const runsByKey = new Map<string, number>();
	const runsByRequestId = new Map<string, number>();
	const counts = {
		started: 0, completed: 0, cancelled: 0, refused: 0,
	};

	const appendRun = (run: Run): void => {
		runs.push(run);
		if (runs.length > 2 * maximumRetainedRuns) {
			runs = runs.slice(-maximumRetainedRuns);
		}
	};

	return {
		start(runStart) {
			const run = {
				...runStart, startedAtMs: clock(), endedAtMs: undefined as number | undefined, end: 'running' as RunEnd,
			};
			counts.started += 1;
			incrementCount(runsByKey, run.key);
			incrementCount(runsByRequestId, run.requestId);
			appendRun(run);
			return end => {
				run.end = end;
				run.endedAtMs = clock();
				counts[end] += 1;
			};
		},
		refuse() {
			counts.refused += 1;
		},
		report: () => ({
			counts: {...counts},
			runsByKey: Object.fromEntries(runsByKey),
			runsByRequestId: Object.fromEntries(runsByRequestId),
		}),
		runs: () => runs.slice(-maximumRetainedRuns),
		clear() {
			runs = [];
			runsByKey.clear();
			runsByRequestId.clear();
			Object.assign(counts, {
				started: 0, completed: 0, cancelled: 0, refused: 0,
			});
		},
	};
};
