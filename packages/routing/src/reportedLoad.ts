/**
 * Work of other entries at an endpoint, from its load reports. A report says much for about as
 * long as a request takes, then little; as it ages, the estimate moves over to the mean use of
 * all endpoints of the service, so that under light load an entry borrows without a fresh
 * report and under heavy load it does not. Our own requests in flight are known exactly and are
 * never taken from a report.
 *
 * The mean use is taken only from reports that were asked for, of healthy endpoints. Those on answers are drawn at
 * the moments at which a slot has just come free: they show room even where all is full.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';

/** Mean use of a service's endpoints by their reports. */
export type MeanUse = {
	/** Slots in use over slots, from 0; above 1 while requests wait at the endpoints. */
	readonly value: () => number;
	readonly record: (inUse: number, slots: number) => void;
	/** Whether the endpoints are so full that short or long requests must not borrow. */
	readonly isTooFull: (isLong: boolean) => boolean;
	/** Time for which a report is good, in milliseconds: about that of a request. */
	readonly agingMs: () => number;
	readonly recordHeld: (milliseconds: number) => void;
};

const useWeight = 0.05;
const fullUse = 0.85;
const fullUseForLong = 0.5;
const heldWeight = 0.03;
const largestUse = 1.5;
const firstAgingMs = 50;
const leastAgingMs = 10;

/**
 * Creates the mean use of a service, full at first.
 *
 * @returns The mean use.
 */
export const createMeanUse = (): MeanUse => {
	let use = 1;
	let heldMs = firstAgingMs;
	return {
		value: () => use,
		isTooFull: isLong => use > (isLong ? fullUseForLong : fullUse),
		record(inUse, slots) {
			use += useWeight * (Math.min(largestUse, inUse / Math.max(1, slots)) - use);
		},
		agingMs: () => Math.max(leastAgingMs, heldMs),
		recordHeld(milliseconds) {
			heldMs += heldWeight * (milliseconds - heldMs);
		},
	};
};

/** Reported load of one endpoint. */
export type ReportedLoad = {
	/**
	 * Takes a report in.
	 * @param report - What the endpoint said.
	 * @param atMs - When it came, on the router's clock.
	 * @param ownInFlight - Our requests in flight there at that time, as far as the report counts them.
	 */
	readonly observe: (report: LoadReport, atMs: number, ownInFlight: number) => void;
	/** How much the latest report is worth by now, from 0 to 1. */
	readonly trust: () => number;
	/** Requests of other entries there now, by estimate; `slots` are those that are not ours. */
	readonly others: (slots: number) => number;
	readonly latest: () => LoadReport | undefined;
	/** Milliseconds since the latest report; infinite without one. */
	readonly ageMs: () => number;
};

/**
 * Creates the reported load of an endpoint.
 *
 * @param clock - Monotonic milliseconds.
 * @param meanUse - Mean use of the service's endpoints.
 * @returns The load, without a report at first.
 */
export const createReportedLoad = (clock: Clock, meanUse: MeanUse): ReportedLoad => {
	let latest: LoadReport | undefined;
	let receivedAtMs = -Infinity;
	let reportedOthers = 0;
	const trust = () => latest === undefined ? 0 : Math.exp((receivedAtMs - clock()) / meanUse.agingMs());

	return {
		observe(report, atMs, ownInFlight) {
			if (atMs < receivedAtMs) {
				return;
			}

			latest = report;
			receivedAtMs = atMs;
			reportedOthers = Math.max(0, report.inUse + report.queued - ownInFlight);
		},
		others(slots) {
			const worth = trust();
			return (worth * reportedOthers) + ((1 - worth) * meanUse.value() * slots);
		},
		trust,
		latest: () => latest,
		ageMs: () => clock() - receivedAtMs,
	};
};
