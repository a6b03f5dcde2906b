/**
 * Division of a service's traffic between availability zones.
 */
import type {AvailabilityZoneName, RegionName} from './place.js';

/** Share of one availability zone, from 0 to 1. */
export type ZoneShare = {
	readonly availabilityZone: AvailabilityZoneName;
	readonly share: number;
};

/** Division of one service's traffic at one entry; the shares add up to 1. */
export type Split = {
	readonly service: string;
	readonly shares: readonly ZoneShare[];
};

/** Division of one service's traffic at the entries of a region. */
export type RegionalSplit = Split & {
	readonly region: RegionName;
};

/** What keeps a shift from moving on. */
export type ShiftHold = 'none' | 'cap' | 'headroom' | 'latency' | 'notSettled';

/** State of one service's shift at one entry. */
export type ShiftProgress = {
	readonly service: string;
	readonly current: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Share still to move, from 0 to 1. */
	readonly remaining: number;
	readonly heldBy: ShiftHold;
	/** Seconds left under the cap in force, if nothing holds the shift. */
	readonly secondsLeft: number;
};
