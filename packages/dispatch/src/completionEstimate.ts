/**
 * When a request would be answered by an endpoint, and what it would cost there. The choice falls on the
 * endpoint with the least cost.
 */
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** What the estimate needs to know of a request at an endpoint. */
export type CompletionQuestion = {
	readonly endpoint: TrackedEndpoint;
	/** Time there and back, in milliseconds. */
	readonly roundTripMs: number;
	readonly warmMs: number;
	readonly coldMs: number;
	/** How likely the endpoint has the request's affinity key warm, from 0 to 1. */
	readonly warmth: number;
	/** Mean time that requests keep a slot of the service, in milliseconds. */
	readonly meanWorkMs: number;
};

/** Estimate for a request at an endpoint. */
export type CompletionEstimate = {
	/** Expected wait in the endpoint's queue, in milliseconds. */
	readonly waitMs: number;
	/** Expected time from now to the answer, in milliseconds. */
	readonly totalMs: number;
	/** Expected time that the request keeps a slot, in milliseconds. */
	readonly workMs: number;
	/** What the choice compares, in milliseconds: the time, and what the request takes from others. */
	readonly cost: number;
};

/** Part of the additional work of a cold key that counts as cost to others. */
const coldCostToOthers = 0.5;
/** Cost of using the last slots, as a part of the mean work at full use: spreads requests while all is idle. */
const useCost = 0.1;
/** Failure rate that counts at most, so that a cost stays finite. */
const largestFailureRate = 0.9;
/** Weight of the time by which an endpoint's oldest request is overdue. */
const overdueWeight = 1;

/**
 * Estimates a request at an endpoint.
 *
 * @param question - Request and endpoint.
 * @returns The estimate.
 */
export const estimateCompletion = ({endpoint, roundTripMs, warmMs, coldMs, warmth, meanWorkMs}: CompletionQuestion): CompletionEstimate => {
	const slots = endpoint.slots();
	const load = endpoint.load();
	const slowdown = endpoint.slowdown();
	const workMs = (coldMs - (warmth * (coldMs - warmMs))) * slowdown;
	const ahead = Math.max(0, load + 1 - slots);
	const waitMs = ahead * meanWorkMs * slowdown / slots;
	const totalMs = roundTripMs + waitMs + workMs;
	const failureRate = Math.min(endpoint.failureRate(), largestFailureRate);
	const toOthers = (coldCostToOthers * (1 - warmth) * (coldMs - warmMs)) + (useCost * meanWorkMs * Math.min(load / slots, 1));
	const cost = (totalMs / (1 - failureRate)) + toOthers + (overdueWeight * endpoint.overdueMs());
	return {
		waitMs, totalMs, workMs, cost,
	};
};
