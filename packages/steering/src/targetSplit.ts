/**
 * Computes the target split of one entry's traffic for a service from the intent, the demand and failed zones.
 */
import type {Endpoint, Intent, Service} from '@filbertwell/types/intent';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {ZoneShare} from '@filbertwell/types/split';
import {flowFromRegion, type RegionCapacity} from './regionFlow.js';

/** Share of the deployment's traffic that arrives in a region, from 0 to 1. */
export type RegionDemand = {
	readonly region: RegionName;
	readonly demand: number;
};

/** State of the deployment from which the target split of one region is computed. */
export type TargetInput = {
	readonly intent: Intent;
	readonly service: Service;
	readonly region: RegionName;
	readonly demands: readonly RegionDemand[];
	readonly failedZones: ReadonlySet<AvailabilityZoneName>;
};

type ZoneSlots = {
	readonly availabilityZone: AvailabilityZoneName;
	readonly slots: number;
};

const isDrained = (intent: Intent, target: 'endpoint' | 'availabilityZone' | 'region', name: string): boolean =>
	intent.drains.some(drain => drain.target === target && drain.name === name);

const usableSlots = (endpoints: readonly Endpoint[], availabilityZone: AvailabilityZoneName, intent: Intent): number => endpoints
	.filter(endpoint => endpoint.availabilityZone === availabilityZone && !isDrained(intent, 'endpoint', endpoint.id))
	.reduce((sum, endpoint) => sum + endpoint.slots, 0);

const zoneSlotsOf = ({intent, service, failedZones}: TargetInput, region: RegionName): ZoneSlots[] => {
	const zones = intent.regions.find(candidate => candidate.name === region)?.availabilityZones ?? [];
	return zones.map(availabilityZone => {
		const isClosed = isDrained(intent, 'region', region)
			|| isDrained(intent, 'availabilityZone', availabilityZone)
			|| failedZones.has(availabilityZone);
		return {availabilityZone, slots: isClosed ? 0 : usableSlots(service.endpoints, availabilityZone, intent)};
	});
};

const maximumShareOf = (intent: Intent, service: string, region: RegionName): number => Math.min(1, ...intent.regionShares
	.filter(share => share.region === region && (share.service === '*' || share.service === service))
	.map(share => share.maximumShare));

const totalSlots = (zones: readonly ZoneSlots[]): number => zones.reduce((sum, zone) => sum + zone.slots, 0);

const capacityOf = (input: TargetInput, region: RegionName): RegionCapacity => ({
	region,
	slots: totalSlots(zoneSlotsOf(input, region)),
	maximumShare: maximumShareOf(input.intent, input.service.name, region),
	requestedShare: input.intent.shifts.find(shift => shift.service === input.service.name && shift.region === region)?.share,
	demand: input.demands.find(demand => demand.region === region)?.demand ?? 0,
});

/**
 * Computes the split that an entry moves towards.
 *
 * @param input - Intent, service, the entry's region, demand by region and failed zones.
 * @returns Shares of the zones, within each region in proportion to their slots. They add up to
 * less than 1 if the limits of the regions do not admit all traffic.
 */
export const targetSplit = (input: TargetInput): readonly ZoneShare[] => {
	const capacities = input.intent.regions.map(region => capacityOf(input, region.name));
	return flowFromRegion(input.region, capacities).flatMap(({region, fraction}) => {
		const zones = zoneSlotsOf(input, region);
		const slots = totalSlots(zones);
		return zones
			.filter(zone => zone.slots > 0 && fraction > 0)
			.map(zone => ({availabilityZone: zone.availabilityZone, share: fraction * zone.slots / slots}));
	});
};
