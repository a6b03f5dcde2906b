/**
 * Choice among endpoints of one region. While all is calm, a request goes where it is answered first. When
 * endpoints fill up, a key stays with the endpoint that keeps it warm: a cold run takes a slot for several
 * times as long and pushes other keys out, so that a full service that spreads its keys grows fuller. What
 * does not fit is refused, and a queue is no longer than what can still be answered in time.
 */
import type {CompletionEstimate} from './completionEstimate.js';
import type {DispatchedRequest} from './dispatchedRequest.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** An endpoint with the estimate for one request. */
export type Candidate = {
	readonly endpoint: TrackedEndpoint;
	readonly estimate: CompletionEstimate;
	/** Whether it is the endpoint that keeps the request's key warm; all are for requests without key. */
	readonly isOwn: boolean;
	/** Whether its answer's time will count as that of warm work. */
	readonly isWarm: boolean;
};

/** What a request can bear. */
export type Room = {
	/** Longest wait in an endpoint's queue, in milliseconds. */
	readonly largestWaitMs: number;
	/** Longest time to the answer, in milliseconds. */
	readonly largestTotalMs: number;
	/** Longest time to an answer of full value, in milliseconds; may be negative. */
	readonly targetMs: number;
};

/** Part of the latency target that a request may wait though its answer will be late. */
const lateWaitPart = 0.2;
/** Use of its slots up to which an endpoint takes keys that it does not keep warm. */
const spareUse = 0.5;

/**
 * Computes what a request can bear.
 *
 * @param request - The request.
 * @param nowMs - Monotonic milliseconds.
 * @param isWorkKnown - Whether any answer has told how long the route's requests take. A new route that was
 * refused for a guess would never show it.
 * @returns Its room.
 */
export const roomOf = ({route, targetAtMs, deadlineAtMs}: DispatchedRequest, nowMs: number, isWorkKnown: boolean): Room => ({
	largestWaitMs: route.latencyTargetMs * lateWaitPart,
	largestTotalMs: isWorkKnown ? deadlineAtMs - nowMs : Number.POSITIVE_INFINITY,
	targetMs: targetAtMs - nowMs,
});

const isAcceptable = ({estimate}: Candidate, {largestWaitMs, largestTotalMs, targetMs}: Room): boolean => estimate.totalMs <= largestTotalMs
	&& (estimate.totalMs <= targetMs || estimate.waitMs <= largestWaitMs);

/** Failure rate and slowdown up to which an endpoint is as good as its neighbours. */
const calmFailureRate = 0.1;
const calmSlowdown = 1.5;

/**
 * Tells whether an endpoint that keeps a request's key serves it so well that no other need be looked at: it has a free
 * slot and no trouble, and anywhere else the key would be cold.
 *
 * @param candidate - The endpoint with its estimate.
 * @param room - What the request can bear.
 * @returns Whether it is the choice.
 */
export const isAtEase = (candidate: Candidate, room: Room): boolean => candidate.estimate.waitMs === 0
	&& isAcceptable(candidate, room)
	&& candidate.endpoint.failureRate() < calmFailureRate
	&& candidate.endpoint.slowdown() < calmSlowdown
	&& candidate.endpoint.overdueMs() === 0;

const hasSpareSlots = ({endpoint}: Candidate): boolean => endpoint.load() < endpoint.slots() * spareUse;

const cheapest = (candidates: readonly Candidate[]): Candidate | undefined => {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		best = best === undefined || candidate.estimate.cost < best.estimate.cost ? candidate : best;
	}

	return best;
};

/**
 * Chooses an endpoint.
 *
 * @param candidates - Endpoints of a region with their estimates.
 * @param room - What the request can bear.
 * @returns The candidate with the least cost that takes the request; `undefined` where none does.
 */
export const chooseWithin = (candidates: readonly Candidate[], room: Room): Candidate | undefined => cheapest(candidates
	.filter(candidate => isAcceptable(candidate, room) && (candidate.isOwn || hasSpareSlots(candidate))));
