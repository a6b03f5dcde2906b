/**
 * Types of requests to the dispatcher and of its results.
 */
import type {DiscoveredEndpoint, EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';
import type {SendResult} from './trackedEndpoint.js';

/** A request for which the dispatcher chooses an endpoint. */
export type DispatchedRequest = {
	readonly route: PlannedRoute;
	readonly service: string;
	/** Requests with the same key use the same cached data of an endpoint, where the key is then warm; `undefined` for a request without affinity. */
	readonly affinityKey: string | undefined;
	/** Time by which the answer meets the latency target of the route, in monotonic milliseconds. */
	readonly targetAtMs: number;
	/** Time by which the caller must have an answer, in monotonic milliseconds. */
	readonly deadlineAtMs: number;
	/** Ids of the endpoints that were already tried for the request; they are not chosen again. */
	readonly triedEndpointIds: ReadonlySet<string>;
};

/** An endpoint that is reserved for one send of a request. The holder must end the lease. */
export type EndpointLease = {
	readonly endpoint: DiscoveredEndpoint;
	/** Estimated time to the answer when the endpoint was chosen, in milliseconds. */
	readonly expectedMs: number;
	/** Estimated wait in the queue of the endpoint, in milliseconds; included in `expectedMs`. */
	readonly expectedWaitMs: number;
	/** Records the load that the endpoint reported in its answer. */
	readonly reportLoad: (load: EndpointLoad) => void;
	/** Ends the lease with the result of the send. Calls after the first have no effect. */
	readonly end: (result: SendResult['kind']) => void;
};

/** Why the dispatcher refused a request: no endpoint may serve it, or those that may are too loaded to answer in time. */
export type RefusalReason = 'noEndpoint' | 'overloaded';

/** A refusal of a request, which was not sent. */
export type DispatchRefusal = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	/** Expected time until an endpoint has capacity, in milliseconds. */
	readonly expectedWaitMs: number;
};
