/**
 * Computes the capacity that a service has in each region, with and without the drains.
 */
import type {
	Drain, Endpoint, Intent, Service,
} from '@filbertwell/types/intent';
import type {Region} from '@filbertwell/types/place';

/** A service's capacity in a region. */
export type RegionCapacity = {
	readonly region: string;
	/** Slots of all endpoints, drained ones included. */
	readonly slots: number;
	/** Slots of the endpoints that no drain affects. */
	readonly slotsAfterDrains: number;
	/** Largest share of the service's traffic that the region may take, from 0 to 1. */
	readonly maximumShare: number;
};

const isDrained = (endpoint: Endpoint, region: string, drains: readonly Drain[]): boolean => drains.some(({target, name}) =>
	(target === 'endpoint' && name === endpoint.id)
	|| (target === 'availabilityZone' && name === endpoint.availabilityZone)
	|| (target === 'region' && name === region));

const sumSlots = (endpoints: readonly Endpoint[]): number => endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);

/**
 * Finds the largest share of a service's traffic that a region may take.
 *
 * @param intent - The intent.
 * @param service - Name of the service.
 * @param region - Name of the region.
 * @returns The share set for the service, or else the one set for all services (`*`), or else 1.
 */
export const maximumShareOf = ({regionShares}: Intent, service: string, region: string): number => {
	const sharesOfRegion = regionShares.filter(share => share.region === region);
	const share = sharesOfRegion.find(candidate => candidate.service === service) ?? sharesOfRegion.find(candidate => candidate.service === '*');
	return share?.maximumShare ?? 1;
};

const regionCapacity = (intent: Intent, service: Service, {name, availabilityZones}: Region): RegionCapacity => {
	const endpoints = service.endpoints.filter(endpoint => availabilityZones.includes(endpoint.availabilityZone));
	return {
		region: name,
		slots: sumSlots(endpoints),
		slotsAfterDrains: sumSlots(endpoints.filter(endpoint => !isDrained(endpoint, name, intent.drains))),
		maximumShare: maximumShareOf(intent, service.name, name),
	};
};

/**
 * Computes a service's capacity in each region.
 *
 * @param intent - The intent.
 * @param service - The service.
 * @returns One item for each region, in the order of the intent.
 */
export const serviceCapacity = (intent: Intent, service: Service): RegionCapacity[] => intent.regions.map(region => regionCapacity(intent, service, region));
