/**
 * Estimates the completion time and the cost of a request at an endpoint. The dispatcher chooses the endpoint with
 * the lowest cost.
 */
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** Input of the estimate for one request at one endpoint. */
export type CompletionEstimateInput = {
	readonly endpoint: TrackedEndpoint;
	/** Network round trip to the endpoint, in milliseconds. */
	readonly roundTripMs: number;
	/** Processing time if the affinity key is warm, in milliseconds. */
	readonly warmMs: number;
	/** Processing time if the affinity key is cold, in milliseconds. */
	readonly coldMs: number;
	/** Probability that the affinity key of the request is warm at the endpoint, from 0 to 1. */
	readonly warmProbability: number;
	/** Mean time that requests of the service occupy a slot, in milliseconds. */
	readonly meanProcessingMs: number;
	/** Whether the usual load of the endpoint counts as well, which is less certain than its current load. */
	readonly includesUsualLoad: boolean;
};

/** Expected times and cost of a request at an endpoint, in milliseconds. */
export type CompletionEstimate = {
	/** Number of requests that the endpoint is expected to have, the usual ones included if they count. Decides whether it accepts keys of other endpoints. */
	readonly usualLoad: number;
	/** Expected wait in the queue of the endpoint. */
	readonly waitMs: number;
	/** Expected wait if the endpoint has its usual load; at least `waitMs`. A reason to prefer another endpoint, not to refuse a request. */
	readonly usualWaitMs: number;
	/** Expected time from now to the answer. */
	readonly totalMs: number;
	/** Expected time that the request occupies a slot. */
	readonly processingMs: number;
	/**
	 * Expected total time, raised according to the failure rate, plus the cost to other requests and the time by which
	 * the oldest request of the endpoint is overdue.
	 */
	readonly cost: number;
};

/** Fraction of the extra processing time of a cold key that counts as a cost to other requests. */
const coldCostFraction = 0.5;
/** Cost at full utilization as a fraction of the mean processing time. It spreads requests while endpoints have free slots. */
const utilizationCostFraction = 0.1;
/** Upper bound of the failure rate in the cost, which keeps the cost finite. */
const maximumFailureRate = 0.9;
/** Weight in the cost of the time by which the oldest request of an endpoint is overdue. */
const overdueWeight = 1;

/**
 * Estimates the completion time and the cost of a request at an endpoint.
 *
 * @param input - Endpoint, processing times and key affinity of the request.
 * @returns The estimate.
 */
export const estimateCompletion = (input: CompletionEstimateInput): CompletionEstimate => {
	const {endpoint, roundTripMs, warmMs, coldMs, warmProbability, meanProcessingMs, includesUsualLoad} = input;
	const slots = endpoint.slots();
	const load = endpoint.load();
	const slowdown = endpoint.slowdown();
	const processingMs = (coldMs - (warmProbability * (coldMs - warmMs))) * slowdown;
	const waitAt = (requests: number): number => Math.max(0, requests + 1 - slots) * meanProcessingMs * slowdown / slots;
	const waitMs = waitAt(load);
	const usualLoad = includesUsualLoad ? Math.max(load, endpoint.usualLoad()) : load;
	const usualWaitMs = waitAt(usualLoad);
	const totalMs = roundTripMs + waitMs + processingMs;
	const failureRate = Math.min(endpoint.failureRate(), maximumFailureRate);
	const costToOthers = (coldCostFraction * (1 - warmProbability) * (coldMs - warmMs)) + (utilizationCostFraction * meanProcessingMs * Math.min(load / slots, 1));
	const cost = ((totalMs + usualWaitMs - waitMs) / (1 - failureRate)) + costToOthers + (overdueWeight * endpoint.overdueMs());
	return {
		usualLoad, waitMs, usualWaitMs, totalMs, processingMs, cost,
	};
};
