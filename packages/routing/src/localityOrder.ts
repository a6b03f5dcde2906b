/**
 * Order in which places are tried for a request: the availability zone that steering chose (or
 * our own), then the rest of that zone's region, then other regions. Between regions it is
 * steering that moves traffic, under the operators' caps; so a request for which steering chose
 * a zone stays in that zone's region. Only without a choice may it go further, under link caps.
 */
import type {EndpointTracker} from './endpointTracker.js';

/** Endpoints at about the same distance. */
export type Tier = {
	readonly trackers: readonly EndpointTracker[];
	/** Whether requests go there over a capped link between regions. */
	readonly isRemote: boolean;
};

/** Where an entry is. */
export type Self = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
};

/**
 * Orders endpoints for a request.
 *
 * @param trackers - Endpoints of the service.
 * @param self - This entry.
 * @param chosenZone - Zone by steering; `undefined` without a choice.
 * @returns Tiers, nearest first, without empty ones.
 */
export const localityOrder = (trackers: readonly EndpointTracker[], self: Self, chosenZone: string | undefined): readonly Tier[] => {
	const chosenRegion = trackers.find(({endpoint}) => endpoint.availabilityZone === chosenZone)?.region;
	const zone = chosenRegion === undefined ? self.availabilityZone : chosenZone;
	const region = chosenRegion ?? self.region;
	const inZone = trackers.filter(({endpoint}) => endpoint.availabilityZone === zone);
	const inRegion = trackers.filter(tracker => tracker.region === region && tracker.endpoint.availabilityZone !== zone);
	const elsewhere = chosenRegion === undefined ? trackers.filter(tracker => tracker.region !== region) : [];
	return [
		{trackers: inZone, isRemote: region !== self.region},
		{trackers: inRegion, isRemote: region !== self.region},
		{trackers: elsewhere, isRemote: true},
	].filter(tier => tier.trackers.length > 0);
};
