/**
 * Tracks the load, the speed and the failures of one start of an endpoint, as observed by this instance.
 */
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import {createRecentKeys, type RecentKeys} from './recentKeys.js';

/** Result of a send, as far as it concerns the health of the endpoint. */
export type SendResult =
	/**
	 * The endpoint answered. `durationRatio` is the processing time divided by the expected one at the usual speed;
	 * `undefined` if it does not indicate the speed.
	 */
	| {readonly kind: 'answered'; readonly durationRatio: number | undefined}
	/** The endpoint refused the request before processing it. */
	| {readonly kind: 'refused'}
	/** The endpoint could not be reached, or its answer could not be used. */
	| {readonly kind: 'failed'}
	/** The send timed out without an answer. */
	| {readonly kind: 'silent'}
	/** The caller disconnected or the request was not sent, which says nothing about the endpoint. */
	| {readonly kind: 'abandoned'};

/** A request that was sent to an endpoint and has not ended. */
export type InFlightRequest = {
	/** Start of the send, in monotonic milliseconds. */
	readonly startedAtMs: number;
	/** Expected time to the answer, in milliseconds. */
	readonly expectedMs: number;
};

/** An endpoint with its observed load, speed and failures. */
export type TrackedEndpoint = {
	/** The latest registration. */
	readonly registered: () => RegisteredEndpoint;
	/** Replaces the registration by a newer one of the same start. */
	readonly update: (registered: RegisteredEndpoint) => void;
	/** Number of requests that it processes concurrently, as stated in its last load report or, without one, in its registration. */
	readonly slots: () => number;
	/** Number of requests that this instance has sent to it. */
	readonly sentRequestCount: () => number;
	/** Time since which it has been warm, in monotonic milliseconds; in the future while it is cold. */
	readonly warmSinceMs: () => number;
	/** Estimated number of running and waiting requests from all instances. It falls to those of this instance without reports. */
	readonly load: () => number;
	/**
	 * Like `load`, but without reports it returns to the usual load of the endpoint. It is a reason to prefer another
	 * endpoint, but the endpoint of a key that may be free is not refused for it.
	 */
	readonly usualLoad: () => number;
	/** Processing time relative to the usual one: 2 means twice as long. */
	readonly slowdown: () => number;
	/** Weighted fraction of recent sends that failed or were refused, from 0 to 1. */
	readonly failureRate: () => number;
	/** Time by which the oldest request of this instance is overdue, in milliseconds; 0 if it is not. */
	readonly overdueMs: () => number;
	readonly isEjected: () => boolean;
	readonly isCold: () => boolean;
	/** Treats it as cold for at least the given number of milliseconds; a registration can extend this time. */
	readonly assumeCold: (milliseconds: number) => void;
	/** Affinity keys that this instance recently sent to it. */
	readonly recentKeys: RecentKeys;
	/** Records the start of a send; it must be passed to `end` when the send ends. */
	readonly start: (expectedMs: number) => InFlightRequest;
	readonly end: (request: InFlightRequest, result: SendResult) => void;
	/** Records a load report of the endpoint. */
	readonly reportLoad: (load: EndpointLoad) => void;
};

/** Number of keys of this instance that an endpoint is assumed to keep warm. Other instances send it keys as well. */
const assumedWarmKeys = 20;
/** Half-life with which the load of other instances decays after a report. */
const othersLoadHalfLifeMs = 1500;
/** Weight of a report in the usual load of other instances. */
const usualLoadSampleWeight = 0.3;
/** Half-life with which the usual load decays without reports, so that an endpoint that was avoided is tried again. */
const usualLoadHalfLifeMs = 6000;
/** Time constant with which the weight of a reported slowdown decays, because reports describe only a moment. */
const reportedSlowdownDecayMs = 500;
const slowdownSampleWeight = 0.2;
/** Half-life with which an observed slowdown returns to 1 without new samples. */
const slowdownHalfLifeMs = 4000;
const failureSampleWeight = 0.15;
const failureHalfLifeMs = 2500;
/** Number of consecutive failures after which an endpoint is ejected. */
const ejectionThreshold = 3;
/** Length of the first ejection. It doubles with each further consecutive failure up to the maximum. */
const baseEjectionMs = 700;
const maximumEjectionMs = 5000;
/** Multiple of the expected time after which a request counts as overdue. */
const overdueFactor = 2.5;
/** Bounds of one slowdown sample, so that a single straggler does not make the endpoint appear slow. */
const minimumSlowdownSample = 0.6;
const maximumSlowdownSample = 2;

/**
 * Starts to track an endpoint.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param initialRegistration - First registration of the start of the endpoint.
 * @returns The tracked endpoint, without load or failures.
 */
export const trackEndpoint = (clock: Clock, initialRegistration: RegisteredEndpoint): TrackedEndpoint => {
	const inFlightRequests = new Set<InFlightRequest>();
	const recentKeys = createRecentKeys(assumedWarmKeys);
	let registered = initialRegistration;
	let sentRequestCount = 0;
	let {coldUntilMs} = initialRegistration;
	let reportedSlots: number | undefined;
	let othersLoad = 0;
	let usualOthersLoad = 0;
	let reportedAtMs = 0;
	let reportedSlowdown = 1;
	let observedSlowdown = 1;
	let observedAtMs = clock();
	let smoothedFailureRate = 0;
	let failureRateAtMs = clock();
	let consecutiveFailures = 0;
	let ejectedUntilMs = 0;
	let lastAnswerAtMs = 0;

	const decay = (ageMs: number, halfLifeMs: number) => 0.5 ** (ageMs / halfLifeMs);

	const currentFailureRate = () => smoothedFailureRate * decay(clock() - failureRateAtMs, failureHalfLifeMs);

	const recordFailure = (isFailure: boolean) => {
		smoothedFailureRate = currentFailureRate() + (failureSampleWeight * ((isFailure ? 1 : 0) - currentFailureRate()));
		failureRateAtMs = clock();
	};

	const eject = () => {
		const lengthMs = Math.min(baseEjectionMs * (2 ** (consecutiveFailures - ejectionThreshold)), maximumEjectionMs);
		ejectedUntilMs = clock() + lengthMs;
		recentKeys.clear();
	};

	// Most endpoints have no recent observation at an instance of a large deployment, so no decay is computed for them.
	const currentObservedSlowdown = () => observedSlowdown === 1 ? 1 : 1 + ((observedSlowdown - 1) * decay(clock() - observedAtMs, slowdownHalfLifeMs));

	const recordSlowdown = (ratio: number) => {
		const bounded = Math.min(Math.max(ratio, minimumSlowdownSample), maximumSlowdownSample);
		observedSlowdown = (currentObservedSlowdown() ** (1 - slowdownSampleWeight)) * (bounded ** slowdownSampleWeight);
		observedAtMs = clock();
	};

	const oldestRequest = (): InFlightRequest | undefined => inFlightRequests.values().next().value;

	return {
		registered: () => registered,
		update(next) {
			registered = next;
			coldUntilMs = next.coldUntilMs === 0 ? coldUntilMs : Math.max(coldUntilMs, next.coldUntilMs);
		},
		slots: () => reportedSlots ?? registered.endpoint.slots,
		sentRequestCount: () => sentRequestCount,
		warmSinceMs: () => Math.max(coldUntilMs, registered.firstSeenAtMs),
		load: () => othersLoad === 0 ? inFlightRequests.size : inFlightRequests.size + (othersLoad * decay(clock() - reportedAtMs, othersLoadHalfLifeMs)),
		usualLoad() {
			const ageMs = clock() - reportedAtMs;
			const reportWeight = decay(ageMs, othersLoadHalfLifeMs);
			return inFlightRequests.size + (othersLoad * reportWeight) + (usualOthersLoad * decay(ageMs, usualLoadHalfLifeMs) * (1 - reportWeight));
		},
		slowdown() {
			if (reportedSlowdown === 1) {
				return currentObservedSlowdown();
			}

			const reportWeight = Math.exp((reportedAtMs - clock()) / reportedSlowdownDecayMs);
			return currentObservedSlowdown() * ((reportedSlowdown * reportWeight) + (1 - reportWeight));
		},
		failureRate: currentFailureRate,
		overdueMs() {
			const oldest = oldestRequest();
			// An answer after the expected time of the oldest request shows that the endpoint still works.
			if (oldest === undefined || lastAnswerAtMs > oldest.startedAtMs + oldest.expectedMs) {
				return 0;
			}

			return Math.max(0, clock() - oldest.startedAtMs - (oldest.expectedMs * overdueFactor));
		},
		isEjected: () => ejectedUntilMs > clock(),
		isCold: () => coldUntilMs > clock(),
		assumeCold(milliseconds) {
			coldUntilMs = Math.max(coldUntilMs, clock() + milliseconds);
		},
		recentKeys,
		start(expectedMs) {
			const request = {startedAtMs: clock(), expectedMs};
			inFlightRequests.add(request);
			sentRequestCount += 1;
			return request;
		},
		end(request, result) {
			inFlightRequests.delete(request);
			if (result.kind === 'abandoned') {
				return;
			}

			if (result.kind === 'answered') {
				lastAnswerAtMs = clock();
				consecutiveFailures = 0;
				recordFailure(false);
				if (result.durationRatio !== undefined) {
					recordSlowdown(result.durationRatio);
				}

				return;
			}

			// The endpoint answered other requests in the meantime, so the request that timed out is a straggler.
			if (result.kind === 'silent' && lastAnswerAtMs > request.startedAtMs) {
				return;
			}

			recordFailure(true);
			if (result.kind === 'refused') {
				return;
			}

			consecutiveFailures += 1;
			if (consecutiveFailures >= ejectionThreshold) {
				eject();
			}
		},
		reportLoad({running, waiting, slots, slowdown}) {
			// The send whose answer carries the report has already ended, so it is not counted as in flight.
			const usualLoad = usualOthersLoad * decay(clock() - reportedAtMs, usualLoadHalfLifeMs);
			othersLoad = Math.max(0, running + waiting - inFlightRequests.size);
			usualOthersLoad = usualLoad + (usualLoadSampleWeight * (othersLoad - usualLoad));
			reportedSlots = slots > 0 ? slots : undefined;
			reportedSlowdown = slowdown;
			reportedAtMs = clock();
		},
	};
};
