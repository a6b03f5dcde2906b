/**
 * State of the router for the admin page.
 */
import {type RequestClass, requestClasses} from '@filbertwell/types/intent';
import type {EndpointTracker, LeavingSignal} from './endpointTracker.js';
import type {EjectionReason, HealthState} from './outlierDetection.js';
import type {ServiceRouter} from './serviceRouter.js';

/** What this entry knows of an endpoint. */
export type EndpointState = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly health: HealthState;
	readonly ejectedFor: EjectionReason | undefined;
	readonly leaving: readonly LeavingSignal[];
	readonly inFlight: number;
	readonly owned: number;
	/** Slots within the learned limit. */
	readonly slots: number;
	/** Slots in use by all entries, by estimate. */
	readonly inUse: number;
	/** Time to first byte over the usual time; 1 is usual. */
	readonly slowness: number;
	readonly reportAgeMs: number | undefined;
};

/** State of one service's routing. */
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
	leaving: tracker.leavingSignals(),
	inFlight: tracker.inFlight(),
	owned: tracker.owned().slots,
	slots: tracker.slots(),
	inUse: tracker.inUse(),
	slowness: tracker.health.slowness(),
	reportAgeMs: Number.isFinite(tracker.reportAgeMs()) ? tracker.reportAgeMs() : undefined,
});

/**
 * Describes a service's routing.
 *
 * @param service - Name of the service.
 * @param router - Its router.
 * @returns Plain data for JSON.
 */
export const stateOf = (service: string, router: ServiceRouter): ServiceState => ({
	service,
	inFlight: router.inFlight(),
	queued: Object.fromEntries(requestClasses.map(requestClass => [requestClass, router.queued(requestClass)])) as Record<RequestClass, number>,
	endpoints: router.trackers().map(tracker => endpointState(tracker)),
});
