/**
 * Requests and endpoints as the dispatcher deals with them.
 */
import type {DiscoveredEndpoint, EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';
import type {SendResult} from './trackedEndpoint.js';

/** A request that needs an endpoint. */
export type DispatchedRequest = {
	readonly route: PlannedRoute;
	readonly service: string;
	/** Requests with the same key concern the same object; `undefined` for none. */
	readonly affinityKey: string | undefined;
	/** Monotonic milliseconds by which the answer has its full value. */
	readonly targetAtMs: number;
	/** Monotonic milliseconds by which the caller must have an answer. */
	readonly deadlineAtMs: number;
	/** Ids of endpoints that were tried already. */
	readonly tried: ReadonlySet<string>;
};

/** A place at an endpoint for one send. */
export type EndpointLease = {
	readonly endpoint: DiscoveredEndpoint;
	/** Time to the answer as estimated when the endpoint was chosen, in milliseconds. */
	readonly expectedMs: number;
	/** Part of it that is the wait at the endpoint, in milliseconds. */
	readonly expectedWaitMs: number;
	readonly reportLoad: (load: EndpointLoad) => void;
	/** Ends the lease; the first call counts. */
	readonly end: (result: SendResult['kind']) => void;
};

/** Why there is no endpoint for a request. */
export type RefusalReason = 'noEndpoint' | 'overloaded';

/** A refusal: the request was not sent. */
export type DispatchRefusal = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	/** When there is likely room, in milliseconds from now. */
	readonly expectedWaitMs: number;
};
