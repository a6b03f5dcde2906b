/**
 * Estimates the requests of other entries at an endpoint from its load reports. A report is accurate
 * for about as long as a request takes. As it ages, the estimate moves to the mean utilization of
 * all endpoints of the service, so that under light load an entry borrows without a fresh report and
 * under heavy load it does not. The entry knows its own requests in flight exactly and never takes
 * them from a report.
 *
 * The mean utilization is computed only from reports that were requested separately, of healthy
 * endpoints. A report on an answer is taken at the moment at which a slot becomes free, so it shows
 * a free slot even when all endpoints are full.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';

/** Mean utilization of a service's endpoints according to their reports. */
export type MeanUtilization = {
	/** Slots in use over slots, from 0; above 1 while requests wait at the endpoints. */
	readonly value: () => number;
	/** Records the slots in use (with waiting requests) and the slots of a report. */
	readonly record: (inUse: number, slots: number) => void;
	/** Whether the endpoints are too full for short requests, or for long ones, to borrow slots. */
	readonly preventsBorrowing: (isLong: boolean) => boolean;
	/** Time constant in milliseconds with which confidence in a report decays: about the mean slot time. */
	readonly reportDecayMs: () => number;
	/** Records the time for which a request held a slot. */
	readonly recordSlotTime: (milliseconds: number) => void;
};

/** Weight of a report in the moving mean of the utilization. */
const utilizationWeight = 0.05;
/** Mean utilization above which no slots are borrowed. */
const borrowingLimit = 0.85;
/** Mean utilization above which long requests borrow no slots. */
const longBorrowingLimit = 0.5;
/** Weight of a request in the moving mean of the slot time. */
const slotTimeWeight = 0.03;
const maximumUtilizationSample = 1.5;
const initialSlotTimeMs = 50;
const minimumDecayMs = 10;

/**
 * Creates the mean utilization of a service.
 *
 * @returns The mean utilization, initially 1.
 */
export const createMeanUtilization = (): MeanUtilization => {
	let utilization = 1;
	let meanSlotTimeMs = initialSlotTimeMs;
	return {
		value: () => utilization,
		preventsBorrowing: isLong => utilization > (isLong ? longBorrowingLimit : borrowingLimit),
		record(inUse, slots) {
			utilization += utilizationWeight * (Math.min(maximumUtilizationSample, inUse / Math.max(1, slots)) - utilization);
		},
		reportDecayMs: () => Math.max(minimumDecayMs, meanSlotTimeMs),
		recordSlotTime(milliseconds) {
			meanSlotTimeMs += slotTimeWeight * (milliseconds - meanSlotTimeMs);
		},
	};
};

/** Load of one endpoint according to its reports. */
export type ReportedLoad = {
	/**
	 * Records a report, unless a newer one is known.
	 * @param report - The report.
	 * @param atMs - When it was received, on the router's clock.
	 * @param ownInFlight - Requests of this entry that the report counts.
	 */
	readonly observe: (report: LoadReport, atMs: number, ownInFlight: number) => void;
	/** Weight of the latest report in the estimate, from 0 (none or outdated) to 1 (just received). */
	readonly confidence: () => number;
	/** Estimated requests of other entries in flight; `slots` is the number of slots that this entry does not own. */
	readonly otherInFlight: (slots: number) => number;
	/** The latest report; `undefined` without one. */
	readonly latest: () => LoadReport | undefined;
	/** Milliseconds since the latest report; infinite without one. */
	readonly ageMs: () => number;
};

/**
 * Creates the reported load of an endpoint.
 *
 * @param clock - Monotonic clock, in milliseconds.
 * @param meanUtilization - Mean utilization of the service's endpoints.
 * @returns The load, initially without a report.
 */
export const createReportedLoad = (clock: Clock, meanUtilization: MeanUtilization): ReportedLoad => {
	let latest: LoadReport | undefined;
	let receivedAtMs = -Infinity;
	let reportedOtherInFlight = 0;
	const confidence = () => latest === undefined ? 0 : Math.exp((receivedAtMs - clock()) / meanUtilization.reportDecayMs());

	return {
		observe(report, atMs, ownInFlight) {
			if (atMs < receivedAtMs) {
				return;
			}

			latest = report;
			receivedAtMs = atMs;
			reportedOtherInFlight = Math.max(0, report.inUse + report.queued - ownInFlight);
		},
		otherInFlight(slots) {
			const weight = confidence();
			return (weight * reportedOtherInFlight) + ((1 - weight) * meanUtilization.value() * slots);
		},
		confidence,
		latest: () => latest,
		ageMs: () => clock() - receivedAtMs,
	};
};
