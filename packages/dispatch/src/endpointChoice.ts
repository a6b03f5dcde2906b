/**
 * Chooses among the candidates for a request by cost. Endpoints with spare capacity accept any key. A loaded endpoint
 * accepts only keys for which it is the affinity endpoint: a cold key occupies a slot several times as long and evicts
 * other keys, so spreading keys over a full service would raise its load further. Requests that no candidate can
 * answer in time are refused, which bounds the queues.
 */
import type {CompletionEstimate} from './completionEstimate.js';
import type {DispatchedRequest} from './dispatchedRequest.js';
import type {AffinityUse} from './keyAffinity.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** An endpoint with the completion estimate of one request. */
export type Candidate = {
	readonly endpoint: TrackedEndpoint;
	readonly estimate: CompletionEstimate;
	/** Whether it is the affinity endpoint of the key; true for every endpoint if the request has no key. */
	readonly hasAffinity: boolean;
	/** Which processing time its answer is a sample of. */
	readonly warmth: 'warm' | 'cold' | 'unknown';
	/** How it keeps the key warm, if its answer shows whether it does. */
	readonly affinityUse: AffinityUse | undefined;
};

/** Limits on the expected times of a request, in milliseconds. */
export type TimeBudget = {
	/** Longest wait in the queue of an endpoint for an answer that misses the latency target. */
	readonly maximumWaitMs: number;
	/** Longest time to the answer. */
	readonly maximumTotalMs: number;
	/** Time left until the latency target; negative after it has passed. */
	readonly targetMs: number;
};

/** Longest wait in a queue for an answer that misses the latency target, as a fraction of the target. */
const lateWaitFraction = 0.2;
/** Utilization below which an endpoint accepts keys of other endpoints. */
const spareUtilization = 0.5;

/**
 * Computes the time budget of a request.
 *
 * @param request - Request with its latency target and deadline.
 * @param nowMs - Current time in monotonic milliseconds.
 * @param isProcessingTimeKnown - Whether the processing time of the route has been measured. Until then there is no
 * upper bound on the total time, because a route that is refused on a guess would never be measured.
 * @returns The time budget.
 */
export const timeBudgetOf = ({route, targetAtMs, deadlineAtMs}: DispatchedRequest, nowMs: number, isProcessingTimeKnown: boolean): TimeBudget => ({
	maximumWaitMs: route.latencyTargetMs * lateWaitFraction,
	maximumTotalMs: isProcessingTimeKnown ? deadlineAtMs - nowMs : Number.POSITIVE_INFINITY,
	targetMs: targetAtMs - nowMs,
});

const isAcceptable = ({estimate}: Candidate, {maximumWaitMs, maximumTotalMs, targetMs}: TimeBudget): boolean => estimate.totalMs <= maximumTotalMs
	&& (estimate.totalMs <= targetMs || estimate.waitMs <= maximumWaitMs);

/** Failure rate and slowdown below which an endpoint counts as healthy. */
const healthyFailureRate = 0.1;
const healthySlowdown = 1.5;

/**
 * Checks whether the affinity endpoint of a key is healthy and has a free slot. No other endpoint has to be evaluated
 * then, because the key would be cold anywhere else.
 *
 * @param candidate - The affinity endpoint with its estimate.
 * @param budget - Time budget of the request.
 * @returns Whether the endpoint can be chosen without evaluating others.
 */
export const isHealthyAndFree = (candidate: Candidate, budget: TimeBudget): boolean => candidate.estimate.usualWaitMs === 0
	&& isAcceptable(candidate, budget)
	&& candidate.endpoint.failureRate() < healthyFailureRate
	&& candidate.endpoint.slowdown() < healthySlowdown
	&& candidate.endpoint.overdueMs() === 0;

const hasSpareCapacity = ({endpoint, estimate}: Candidate): boolean => estimate.usualLoad < endpoint.slots() * spareUtilization;

const cheapest = (candidates: readonly Candidate[]): Candidate | undefined => {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		best = best === undefined || candidate.estimate.cost < best.estimate.cost ? candidate : best;
	}

	return best;
};

/**
 * Chooses the candidate with the lowest cost that meets the time budget and has affinity or spare capacity.
 *
 * @param candidates - Endpoints with their estimates.
 * @param budget - Time budget of the request.
 * @returns The chosen candidate; `undefined` if none is acceptable.
 */
export const chooseCandidate = (candidates: readonly Candidate[], budget: TimeBudget): Candidate | undefined => cheapest(candidates
	.filter(candidate => isAcceptable(candidate, budget) && (candidate.hasAffinity || hasSpareCapacity(candidate))));
