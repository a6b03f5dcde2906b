/**
 * Work of other entries at an endpoint, from its load reports. A report counts less the older
 * it is; what is missing is made up by the assumption that the others use all that they own, so
 * that without fresh reports nobody borrows. Our own requests in flight are known exactly and
 * are never taken from a report.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';

/** Reported load of one endpoint. */
export type ReportedLoad = {
	/**
	 * Takes a report in.
	 * @param report - What the endpoint said.
	 * @param atMs - When it came, on the router's clock.
	 * @param ownInFlight - Our requests in flight there at that time, as far as the endpoint counts them.
	 */
	readonly observe: (report: LoadReport, atMs: number, ownInFlight: number) => void;
	/** Requests of other entries there now, by estimate. */
	readonly others: (assumedOthers: number) => number;
	readonly latest: () => LoadReport | undefined;
	/** Milliseconds since the latest report; infinite without one. */
	readonly ageMs: () => number;
};

const agingMs = 500;

/**
 * Creates the reported load of an endpoint.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The load, without a report at first.
 */
export const createReportedLoad = (clock: Clock): ReportedLoad => {
	let latest: LoadReport | undefined;
	let receivedAtMs = -Infinity;
	let reportedOthers = 0;
	return {
		observe(report, atMs, ownInFlight) {
			if (atMs < receivedAtMs) {
				return;
			}

			latest = report;
			receivedAtMs = atMs;
			reportedOthers = Math.max(0, report.inUse + report.queued - ownInFlight);
		},
		others(assumedOthers) {
			const trust = latest === undefined ? 0 : Math.exp((receivedAtMs - clock()) / agingMs);
			return (trust * reportedOthers) + ((1 - trust) * assumedOthers);
		},
		latest: () => latest,
		ageMs: () => clock() - receivedAtMs,
	};
};
