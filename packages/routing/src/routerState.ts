/**
 * Describes the state of the router for the admin page.
 */
import {type RequestClass, requestClasses} from '@filbertwell/types/intent';
import type {EndpointTracker, LeavingSource} from './endpointTracker.js';
import type {EjectionReason, HealthState} from './outlierDetection.js';
import type {ServiceRouter} from './serviceRouter.js';

/** State of an endpoint as seen by this entry. */
export type EndpointState = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly health: HealthState;
	/** Why the endpoint is ejected; absent while it is healthy. */
	readonly ejectedFor: EjectionReason | undefined;
	/** Sources that show the endpoint as leaving. */
	readonly leaving: readonly LeavingSource[];
	/** Requests of this entry in flight at the endpoint. */
	readonly inFlight: number;
	/** Slots that this entry may use without borrowing. */
	readonly owned: number;
	/** Concurrency limit: the learned number of slots. */
	readonly slots: number;
	/** Estimated number of slots in use by all entries. */
	readonly inUse: number;
	/** Mean ratio of the time to first byte to the median of the route; 1 is normal. */
	readonly slowness: number;
	/** Milliseconds since the latest load report; absent without one. */
	readonly reportAgeMs: number | undefined;
};

/** State of the routing of one service. */
export type ServiceState = {
	readonly service: string;
	readonly inFlight: number;
	readonly queued: Readonly<Record<RequestClass, number>>;
	readonly endpoints: readonly EndpointState[];
};

const endpointState = (tracker: EndpointTracker): EndpointState => ({
	id: tracker.endpoint.id,
	availabilityZone: tracker.endpoint.availabilityZone,
	health: tracker.health.state(),
	ejectedFor: tracker.health.reason(),
	leaving: tracker.leavingSources(),
	inFlight: tracker.inFlight(),
	owned: tracker.owned().slots,
	slots: tracker.slots(),
	inUse: tracker.inUse(),
	slowness: tracker.health.latencyRatio(),
	reportAgeMs: Number.isFinite(tracker.reportAgeMs()) ? tracker.reportAgeMs() : undefined,
});

/**
 * Describes the routing of a service.
 *
 * @param service - Name of the service.
 * @param router - Router of the service.
 * @returns The state as plain data, for JSON.
 */
export const serviceState = (service: string, router: ServiceRouter): ServiceState => ({
	service,
	inFlight: router.inFlight(),
	queued: Object.fromEntries(requestClasses.map(requestClass => [requestClass, router.queued(requestClass)])) as Record<RequestClass, number>,
	endpoints: router.trackers().map(tracker => endpointState(tracker)),
});
