/**
 * Order in which locations are tried for a request: the availability zone that steering chose (or
 * that of this entry), then the other zones of its region, then other regions. Only steering moves
 * traffic between regions, under the operators' caps, so a request with a chosen zone stays in the
 * region of that zone. A request without one may go to other regions, under the link caps. A zone
 * that is being drained gets only the requests that steering still sends to it, and none that spill
 * over from other zones.
 */
import type {EndpointTracker} from './endpointTracker.js';

/** Endpoints at about the same network distance. */
export type LocalityTier = {
	readonly trackers: readonly EndpointTracker[];
	/** Whether the endpoints are in another region, so that link caps apply. */
	readonly isRemote: boolean;
};

/** Id and location of this entry. */
export type LocalEntry = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
};

/** Inputs of the locality order. */
export type LocalityInput = {
	/** Endpoints of the service. */
	readonly trackers: readonly EndpointTracker[];
	/** Id and location of this entry. */
	readonly self: LocalEntry;
	/** Availability zone that steering chose; `undefined` without a choice. */
	readonly chosenZone: string | undefined;
	/** Availability zones that are being drained. */
	readonly draining: ReadonlySet<string>;
};

/**
 * Orders the endpoints of a service for a request.
 *
 * @param input - The endpoints, this entry, the chosen zone and the draining zones.
 * @returns Tiers of endpoints, nearest first, without empty tiers.
 */
export const localityOrder = ({trackers, self, chosenZone, draining}: LocalityInput): readonly LocalityTier[] => {
	const chosenRegion = trackers.find(({endpoint}) => endpoint.availabilityZone === chosenZone)?.region;
	const zone = chosenRegion === undefined ? self.availabilityZone : chosenZone;
	const region = chosenRegion ?? self.region;
	const inZone = trackers.filter(({endpoint}) => endpoint.availabilityZone === zone);
	const otherZones = trackers.filter(({endpoint}) => endpoint.availabilityZone !== zone && !draining.has(endpoint.availabilityZone));
	const inRegion = otherZones.filter(tracker => tracker.region === region);
	const inOtherRegions = chosenRegion === undefined ? otherZones.filter(tracker => tracker.region !== region) : [];
	return [
		{trackers: inZone, isRemote: region !== self.region},
		{trackers: inRegion, isRemote: region !== self.region},
		{trackers: inOtherRegions, isRemote: true},
	].filter(tier => tier.trackers.length > 0);
};
