/**
 * What this entry knows of one endpoint: its own requests in flight there, health, limit,
 * reported load, and whether the endpoint is leaving.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import {createAdaptiveLimit} from './adaptiveLimit.js';
import {type EndpointHealth, type HealthChange, createEndpointHealth} from './outlierDetection.js';
import {createReportedLoad, type MeanUse} from './reportedLoad.js';
import type {OwnedSlots} from './slotOwnership.js';

/** One request in a slot of the endpoint. */
export type Flight = {
	readonly startedAtMs: number;
	/** Usual time to first byte of its route; `undefined` while unknown. */
	readonly expectedMs: number | undefined;
	readonly isLong: boolean;
	hasAnswer: boolean;
};

/** Why an endpoint takes no new work. */
export type LeavingSignal = 'report' | 'instanceList' | 'drain';

/** What this entry knows of one endpoint. */
export type EndpointTracker = {
	readonly endpoint: Endpoint;
	readonly region: string;
	readonly health: EndpointHealth;
	readonly inFlight: () => number;
	readonly longInFlight: () => number;
	readonly start: (flight: Flight) => void;
	readonly end: (flight: Flight) => void;
	/** Slots that this entry owns, within the learned limit. */
	readonly owned: () => OwnedSlots;
	readonly setOwned: (owned: OwnedSlots) => void;
	/** Slots that are free for this entry to borrow, by estimate. */
	readonly free: () => number;
	/** How much the latest report is worth by now, from 0 to 1. */
	readonly trust: () => number;
	/** Slots in use by all entries, by estimate. */
	readonly inUse: () => number;
	readonly slots: () => number;
	/** Takes in a report. One on an answer counts the endpoint's work without the answered request. */
	readonly observeReport: (report: LoadReport, atMs: number, isOnAnswer: boolean) => void;
	readonly reportAgeMs: () => number;
	readonly latestReport: () => LoadReport | undefined;
	readonly recordAnswer: (slowness: number) => void;
	readonly recordRefusal: () => void;
	/** Oldest unanswered request's age over its usual time; 0 without one. */
	readonly stall: () => number;
	readonly setLeaving: (signal: LeavingSignal, isLeaving: boolean) => void;
	readonly leavingSignals: () => readonly LeavingSignal[];
	/** Whether it takes no new work. */
	readonly isLeaving: () => boolean;
};

const nothingOwned: OwnedSlots = {slots: 0, forLong: 0};

/** Parameters of a tracker. */
export type TrackerOptions = {
	readonly clock: Clock;
	readonly endpoint: Endpoint;
	readonly region: string;
	readonly isNew: boolean;
	readonly meanUse: MeanUse;
	readonly onHealthChange: HealthChange;
};

/**
 * Creates a tracker.
 *
 * @param options - The endpoint and where it is.
 * @returns The tracker, with nothing owned.
 */
export const createEndpointTracker = ({clock, endpoint, region, isNew, meanUse, onHealthChange}: TrackerOptions): EndpointTracker => {
	const health = createEndpointHealth(clock, isNew, onHealthChange);
	const limit = createAdaptiveLimit(clock, endpoint.slots);
	const load = createReportedLoad(clock, meanUse);
	const flights = new Set<Flight>();
	const leaving = new Set<LeavingSignal>();
	let longInFlight = 0;
	let owned = nothingOwned;

	const slots = () => limit.current();
	const others = () => load.others(Math.max(0, slots() - owned.slots));

	const limitedOwned = (): OwnedSlots => {
		if (endpoint.slots === 0) {
			return {slots: slots(), forLong: Math.max(0, slots() - 1)};
		}

		const share = Math.min(1, slots() / endpoint.slots) * health.share();
		return share === 1 || owned.slots === 0
			? owned
			: {
				slots: Math.max(1, Math.floor(owned.slots * share)),
				forLong: Math.floor(owned.forLong * share),
			};
	};

	return {
		endpoint,
		region,
		health,
		inFlight: () => flights.size,
		longInFlight: () => longInFlight,
		start(flight) {
			flights.add(flight);
			longInFlight += flight.isLong ? 1 : 0;
		},
		end(flight) {
			if (flights.delete(flight)) {
				longInFlight -= flight.isLong ? 1 : 0;
			}
		},
		owned: limitedOwned,
		setOwned(newOwned) {
			owned = newOwned;
		},
		free: () => slots() - others() - flights.size,
		trust: load.trust,
		inUse: () => Math.min(slots(), others() + flights.size),
		slots,
		observeReport(report, atMs, isOnAnswer) {
			load.observe(report, atMs, flights.size - (isOnAnswer ? 1 : 0));
			if (!isOnAnswer && health.state() === 'healthy') {
				meanUse.record(report.inUse + report.queued, report.slots);
			}

			limit.setSlots(endpoint.slots === 0 ? report.slots : Math.min(endpoint.slots, report.slots > 0 ? report.slots : endpoint.slots));
			if (report.state === 'leaving') {
				leaving.add('report');
			} else {
				leaving.delete('report');
			}
		},
		reportAgeMs: load.ageMs,
		latestReport: load.latest,
		recordAnswer(slowness) {
			health.recordAnswer(slowness);
			limit.recordAnswer(slowness, flights.size);
		},
		recordRefusal: limit.recordRefusal,
		stall() {
			let worst = 0;
			const nowMs = clock();
			for (const {startedAtMs, expectedMs, hasAnswer} of flights) {
				if (!hasAnswer && expectedMs !== undefined) {
					worst = Math.max(worst, (nowMs - startedAtMs) / expectedMs);
				}
			}

			return worst;
		},
		setLeaving(signal, isLeaving) {
			if (isLeaving) {
				leaving.add(signal);
			} else {
				leaving.delete(signal);
			}
		},
		leavingSignals: () => [...leaving],
		isLeaving: () => leaving.size > 0,
	};
};
