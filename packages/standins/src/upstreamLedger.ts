/**
 * Ledger of upstream stand-ins: each request that started to run.
 * Callers' records are set against it, so nothing is left out and nothing is inferred.
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

/** What is known of a run when it starts. */
export type RunStart = Pick<Run, 'endpoint' | 'requestId' | 'key' | 'requestBytes'>;

/** The ledger as `GET /ledger` gives it. */
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

/** Records runs. */
export type UpstreamLedger = {
	/** Records the start of a run; the returned function records its end. */
	readonly start: (run: RunStart) => (end: 'completed' | 'cancelled') => void;
	/** Counts a request that was refused as not run. */
	readonly refuse: () => void;
	readonly report: () => LedgerReport;
	/** The latest runs, oldest first. */
	readonly runs: () => readonly Run[];
	readonly clear: () => void;
};

/** Full records that are kept; counts go on without a bound. */
const keptRuns = 20_000;

const countOne = (counts: Map<string, number>, name: string | undefined): void => {
	if (name !== undefined) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}
};

/**
 * Creates an empty ledger.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The ledger.
 */
export const createUpstreamLedger = (clock: Clock): UpstreamLedger => {
	let runs: Run[] = [];
	const runsByKey = new Map<string, number>();
	const runsByRequestId = new Map<string, number>();
	const counts = {
		started: 0, completed: 0, cancelled: 0, refused: 0,
	};

	const keep = (run: Run): void => {
		runs.push(run);
		if (runs.length > 2 * keptRuns) {
			runs = runs.slice(-keptRuns);
		}
	};

	return {
		start(runStart) {
			const run = {
				...runStart, startedAtMs: clock(), endedAtMs: undefined as number | undefined, end: 'running' as RunEnd,
			};
			counts.started += 1;
			countOne(runsByKey, run.key);
			countOne(runsByRequestId, run.requestId);
			keep(run);
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
		runs: () => runs.slice(-keptRuns),
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
