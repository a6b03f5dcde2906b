/**
 * Traffic splits: how a service's traffic is divided among availability zones.
 */
import type {AvailabilityZoneName, RegionName} from './place.js';

/** Share of a service's traffic that an availability zone receives, from 0 to 1. */
export type ZoneShare = {
	readonly availabilityZone: AvailabilityZoneName;
	readonly share: number;
};

/** Split of a service's traffic at one entry; the shares add up to 1. */
export type Split = {
	readonly service: string;
	readonly shares: readonly ZoneShare[];
};

/** Split of a service's traffic at the entries of a region. */
export type RegionalSplit = Split & {
	readonly region: RegionName;
};

/**
 * Why a shift does not progress further. `none`: it is complete. `cap`: it progresses under the
 * shift cap. `headroom` and `latency`: the destinations lack spare capacity or respond too slowly.
 */
export type ShiftHold = 'none' | 'cap' | 'headroom' | 'latency' | 'notSettled';

/** State of one service's shift at one entry. */
export type ShiftProgress = {
	readonly service: string;
	readonly current: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Share that has not been moved yet, from 0 to 1. */
	readonly remaining: number;
	readonly heldBy: ShiftHold;
	/** Remaining time in seconds under the current cap, provided that nothing holds the shift. */
	readonly secondsLeft: number;
};
