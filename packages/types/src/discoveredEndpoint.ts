/**
 * Endpoints that register themselves.
 */
import type {AvailabilityZoneName} from './place.js';

/** An endpoint as its latest registration describes it. */
export type DiscoveredEndpoint = {
	/** Most endpoints get a new id with each start. */
	readonly id: string;
	/** Start time by the endpoint's own wall clock, in Unix milliseconds; distinguishes two starts under one id. */
	readonly startedAtUnixMs: number;
	/** Increases with each registration since the start. */
	readonly sequence: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneName;
	/** Number of requests that the endpoint runs concurrently. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Remaining warm-up time in milliseconds from the registration; 0 if the endpoint is warm. */
	readonly coldForMs: number;
};

/** Load of an endpoint as it reports it with its responses. */
export type EndpointLoad = {
	/** Number of requests that the endpoint is running. */
	readonly running: number;
	/** Number of requests waiting at the endpoint. */
	readonly waiting: number;
	readonly slots: number;
	/** Current service time relative to the usual one: 1 is as usual, 2 is twice as long. */
	readonly slowdown: number;
};
