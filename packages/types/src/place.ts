/**
 * Locations of callers, processes and upstreams.
 */

/** Name of an availability zone, unique in a deployment. */
export type AvailabilityZoneName = string;

/** Name of a region, unique in a deployment. */
export type RegionName = string;

/** A region with its availability zones. */
export type Region = {
	readonly name: RegionName;
	readonly availabilityZones: readonly AvailabilityZoneName[];
};

/** Locality of a destination relative to an origin, nearest first. */
export type Locality = 'sameZone' | 'sameRegion' | 'otherRegion';

/** IP address and port of a TCP or UDP listener. */
export type SocketAddress = {
	/** IPv4 or IPv6 address, without brackets. */
	readonly host: string;
	readonly port: number;
};
