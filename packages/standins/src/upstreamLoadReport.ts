/**
 * Load reports of an upstream stand-in, which faults can make outdated or false.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import type {UpstreamFaults} from './upstreamFaults.js';

type Snapshot = {
	readonly atMs: number;
	readonly report: LoadReport;
};

/** How long past states are retained for reports that lag, in milliseconds. */
const historyRetentionMs = 30_000;

/** Builds load reports from the current and past states of an endpoint. */
export type LoadReporter = {
	/** Records the actual state after a change. Has an effect only while reports lag. */
	readonly record: () => void;
	readonly report: (faults: UpstreamFaults) => LoadReport;
};

/**
 * Creates a reporter for one endpoint.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param read - Reads the actual load.
 * @returns The reporter.
 */
export const createLoadReporter = (clock: Clock, read: () => LoadReport): LoadReporter => {
	let history: Snapshot[] = [];
	let isLagging = false;

	const stateAt = (atMs: number): LoadReport => (history.findLast(snapshot => snapshot.atMs <= atMs) ?? history[0])?.report ?? read();

	return {
		record() {
			if (!isLagging) {
				return;
			}

			const atMs = clock();
			history.push({atMs, report: read()});
			if (history.length > 1 && history[0]!.atMs < atMs - (2 * historyRetentionMs)) {
				history = history.filter(snapshot => snapshot.atMs >= atMs - historyRetentionMs);
			}
		},
		report(faults) {
			isLagging = faults.reportLagMs > 0;
			if (!isLagging) {
				history = [];
			}

			const state = faults.leaving ? 'leaving' : 'serving';
			const load = isLagging ? stateAt(clock() - faults.reportLagMs) : read();
			switch (faults.report) {
				case 'honest': {
					return {...load, state};
				}

				case 'idle': {
					return {
						...load, state, inUse: 0, queued: 0,
					};
				}

				case 'busy': {
					return {
						...load, state, inUse: load.slots, queued: load.slots,
					};
				}
			}
		},
	};
};
