/**
 * Endpoints that register themselves.
 */
import type {AvailabilityZoneName} from './place.js';

/** An endpoint as it last described itself. */
export type DiscoveredEndpoint = {
	/** Differs from start to start for most endpoints. */
	readonly id: string;
	/** Time of its start by its own wall clock, in milliseconds; tells two starts under one id apart. */
	readonly startedAtUnixMs: number;
	/** Rises with each registration of one start. */
	readonly sequence: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneName;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** How much longer it stays cold, in milliseconds from the registration; 0 when warm. */
	readonly coldForMs: number;
};

/** Load of an endpoint as its answers report it. */
export type EndpointLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes there at the moment, relative to the usual: 1 is as usual, 2 twice as long. */
	readonly slowdown: number;
};
