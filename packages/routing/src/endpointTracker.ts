/**
 * State of one endpoint as seen by this entry: its requests in flight there, the health, the
 * concurrency limit, the reported load, and whether the endpoint is leaving.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import {createAdaptiveLimit} from './adaptiveLimit.js';
import {type EndpointHealth, type HealthChangeListener, createEndpointHealth} from './outlierDetection.js';
import {createReportedLoad, type MeanUtilization} from './reportedLoad.js';
import type {OwnedSlots} from './slotOwnership.js';

/** A request of this entry that occupies a slot of the endpoint. */
export type InFlightRequest = {
	readonly startedAtMs: number;
	/** Median time to first byte of its route in the region of the endpoint; `undefined` while unknown. */
	readonly expectedFirstByteMs: number | undefined;
	readonly isLong: boolean;
	isAnswered: boolean;
};

/** Source of the information that an endpoint accepts no new requests. */
export type LeavingSource = 'report' | 'instanceList' | 'drain';

/** State of one endpoint as seen by this entry. */
export type EndpointTracker = {
	readonly endpoint: Endpoint;
	readonly region: string;
	readonly health: EndpointHealth;
	/** Requests of this entry in flight at the endpoint. */
	readonly inFlight: () => number;
	readonly longInFlight: () => number;
	readonly start: (request: InFlightRequest) => void;
	readonly end: (request: InFlightRequest) => void;
	/**
	 * Slots that this entry may use without borrowing: those that it owns, scaled down by the learned
	 * limit and by a slow start; all slots of the limit when their number is not configured.
	 */
	readonly owned: () => OwnedSlots;
	readonly setOwned: (owned: OwnedSlots) => void;
	/** Estimated number of free slots; may be fractional or negative. */
	readonly freeSlots: () => number;
	/** Weight of the latest report in the estimates, from 0 (none or outdated) to 1 (just received). */
	readonly reportConfidence: () => number;
	/** Estimated number of slots in use by all entries. */
	readonly inUse: () => number;
	/** Concurrency limit: the learned number of slots. */
	readonly slots: () => number;
	/**
	 * Records a load report.
	 * @param report - The report.
	 * @param atMs - When it was received, on the monotonic clock.
	 * @param isOnAnswer - Whether it came with an answer; it then does not count the answered request.
	 */
	readonly observeReport: (report: LoadReport, atMs: number, isOnAnswer: boolean) => void;
	/** Milliseconds since the latest report; infinite without one. */
	readonly reportAgeMs: () => number;
	readonly latestReport: () => LoadReport | undefined;
	/** Records an answer, given the ratio of its time to first byte to the median of its route. */
	readonly recordAnswer: (latencyRatio: number) => void;
	/** Records that the endpoint refused a request without running it. */
	readonly recordRefusal: () => void;
	/** Largest ratio of the age of an unanswered request to the median time to first byte of its route; 0 without one. */
	readonly stallRatio: () => number;
	readonly setLeaving: (source: LeavingSource, isLeaving: boolean) => void;
	readonly leavingSources: () => readonly LeavingSource[];
	/** Whether the endpoint accepts no new requests. */
	readonly isLeaving: () => boolean;
};

const noOwnedSlots: OwnedSlots = {slots: 0, longSlots: 0};

/** Parameters of an endpoint tracker. */
export type TrackerOptions = {
	readonly clock: Clock;
	readonly endpoint: Endpoint;
	readonly region: string;
	/** Whether the endpoint begins with a slow start. */
	readonly isNew: boolean;
	readonly meanUtilization: MeanUtilization;
	readonly onHealthChange: HealthChangeListener;
};

/**
 * Creates the tracker of an endpoint.
 *
 * @param options - The endpoint, its region and the state that it shares with its service.
 * @returns The tracker, without owned slots before `setOwned`.
 */
export const createEndpointTracker = ({clock, endpoint, region, isNew, meanUtilization, onHealthChange}: TrackerOptions): EndpointTracker => {
	const health = createEndpointHealth(clock, isNew, onHealthChange);
	const limit = createAdaptiveLimit(clock, endpoint.slots);
	const load = createReportedLoad(clock, meanUtilization);
	const inFlightRequests = new Set<InFlightRequest>();
	const leaving = new Set<LeavingSource>();
	let longInFlight = 0;
	let owned = noOwnedSlots;

	const slots = () => limit.current();
	const otherInFlight = () => load.otherInFlight(Math.max(0, slots() - owned.slots));

	const usableOwned = (): OwnedSlots => {
		if (endpoint.slots === 0) {
			return {slots: slots(), longSlots: Math.max(0, slots() - 1)};
		}

		const usableShare = Math.min(1, slots() / endpoint.slots) * health.slowStartFactor();
		return usableShare === 1 || owned.slots === 0
			? owned
			: {
				slots: Math.max(1, Math.floor(owned.slots * usableShare)),
				longSlots: Math.floor(owned.longSlots * usableShare),
			};
	};

	return {
		endpoint,
		region,
		health,
		inFlight: () => inFlightRequests.size,
		longInFlight: () => longInFlight,
		start(request) {
			inFlightRequests.add(request);
			longInFlight += request.isLong ? 1 : 0;
		},
		end(request) {
			if (inFlightRequests.delete(request)) {
				longInFlight -= request.isLong ? 1 : 0;
			}
		},
		owned: usableOwned,
		setOwned(newOwned) {
			owned = newOwned;
		},
		freeSlots: () => slots() - otherInFlight() - inFlightRequests.size,
		reportConfidence: load.confidence,
		inUse: () => Math.min(slots(), otherInFlight() + inFlightRequests.size),
		slots,
		observeReport(report, atMs, isOnAnswer) {
			load.observe(report, atMs, inFlightRequests.size - (isOnAnswer ? 1 : 0));
			if (!isOnAnswer && health.state() === 'healthy') {
				meanUtilization.record(report.inUse + report.queued, report.slots);
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
		recordAnswer(latencyRatio) {
			health.recordAnswer(latencyRatio);
			limit.recordAnswer(latencyRatio, inFlightRequests.size);
		},
		recordRefusal: limit.recordRefusal,
		stallRatio() {
			let worstRatio = 0;
			const nowMs = clock();
			for (const {startedAtMs, expectedFirstByteMs, isAnswered} of inFlightRequests) {
				if (!isAnswered && expectedFirstByteMs !== undefined) {
					worstRatio = Math.max(worstRatio, (nowMs - startedAtMs) / expectedFirstByteMs);
				}
			}

			return worstRatio;
		},
		setLeaving(source, isLeaving) {
			if (isLeaving) {
				leaving.add(source);
			} else {
				leaving.delete(source);
			}
		},
		leavingSources: () => [...leaving],
		isLeaving: () => leaving.size > 0,
	};
};
