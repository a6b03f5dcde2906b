/**
 * Places that traffic starts from and goes to.
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

/** How far a destination is from an origin, nearest first. */
export type Locality = 'sameZone' | 'sameRegion' | 'otherRegion';

/** Address of a TCP or UDP listener, by IP. */
export type SocketAddress = {
	readonly host: string;
	readonly port: number;
};
