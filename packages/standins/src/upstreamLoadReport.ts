/**
 * Load reports of an upstream stand-in, which may lag or mislead.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import type {UpstreamFaults} from './upstreamFaults.js';

type Snapshot = {
	readonly atMs: number;
	readonly report: LoadReport;
};

/** Past states are kept for this long, so that reports can lag. */
const historyMs = 30_000;

/** Makes load reports. */
export type LoadReporter = {
	/** Records a change of the true state. */
	readonly record: () => void;
	readonly report: (faults: UpstreamFaults) => LoadReport;
};

/**
 * Creates a reporter.
 *
 * @param clock - Monotonic milliseconds.
 * @param read - Reads the true state.
 * @returns The reporter.
 */
export const createLoadReporter = (clock: Clock, read: () => LoadReport): LoadReporter => {
	let history: Snapshot[] = [];
	let lagging = false;

	const stateAt = (atMs: number): LoadReport => (history.findLast(snapshot => snapshot.atMs <= atMs) ?? history[0])?.report ?? read();

	return {
		record() {
			if (!lagging) {
				return;
			}

			const atMs = clock();
			history.push({atMs, report: read()});
			if (history.length > 1 && history[0]!.atMs < atMs - (2 * historyMs)) {
				history = history.filter(snapshot => snapshot.atMs >= atMs - historyMs);
			}
		},
		report(faults) {
			lagging = faults.reportLagMs > 0;
			if (!lagging) {
				history = [];
			}

			const state = faults.leaving ? 'leaving' : 'serving';
			const seen = lagging ? stateAt(clock() - faults.reportLagMs) : read();
			switch (faults.report) {
				case 'honest': {
					return {...seen, state};
				}

				case 'idle': {
					return {
						...seen, state, inUse: 0, queued: 0,
					};
				}

				case 'busy': {
					return {
						...seen, state, inUse: seen.slots, queued: seen.slots,
					};
				}
			}
		},
	};
};
