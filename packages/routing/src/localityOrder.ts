/**
 * Order in which places are tried for a request: the availability zone that steering chose (or
 * our own), then the rest of that zone's region, then other regions. Between regions it is
 * steering that moves traffic, under the operators' caps; so a request for which steering chose
 * a zone stays in that zone's region. Only without a choice may it go further, under link caps.
 * A zone that is being drained takes what steering still sends it and nothing from its neighbours.
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

/** What the order depends on. */
export type LocalityInput = {
	/** Endpoints of the service. */
	readonly trackers: readonly EndpointTracker[];
	/** This entry. */
	readonly self: Self;
	/** Zone by steering; `undefined` without a choice. */
	readonly chosenZone: string | undefined;
	/** Zones that are being drained. */
	readonly draining: ReadonlySet<string>;
};

/**
 * Orders endpoints for a request.
 *
 * @param input - Endpoints, this entry and the zone chosen for the request.
 * @returns Tiers, nearest first, without empty ones.
 */
export const localityOrder = ({trackers, self, chosenZone, draining}: LocalityInput): readonly Tier[] => {
	const chosenRegion = trackers.find(({endpoint}) => endpoint.availabilityZone === chosenZone)?.region;
	const zone = chosenRegion === undefined ? self.availabilityZone : chosenZone;
	const region = chosenRegion ?? self.region;
	const inZone = trackers.filter(({endpoint}) => endpoint.availabilityZone === zone);
	const neighbours = trackers.filter(({endpoint}) => endpoint.availabilityZone !== zone && !draining.has(endpoint.availabilityZone));
	const inRegion = neighbours.filter(tracker => tracker.region === region);
	const elsewhere = chosenRegion === undefined ? neighbours.filter(tracker => tracker.region !== region) : [];
	return [
		{trackers: inZone, isRemote: region !== self.region},
		{trackers: inRegion, isRemote: region !== self.region},
		{trackers: elsewhere, isRemote: true},
	].filter(tier => tier.trackers.length > 0);
};
