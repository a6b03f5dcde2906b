/**
 * Maintains the region shares of each service. In a small deployment, heartbeats spread the request rate of every
 * instance within seconds. In a large deployment that takes too long, so the demand is inferred from the load that the
 * endpoints report.
 */
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {
	createRateLimitedShares, type RateLimitedShares, type RegionLoad, type RegionShares, targetShares,
} from './regionShares.js';

/** Request rate of one instance over all services. */
export type InstanceDemand = {
	readonly region: RegionName;
	readonly requestsPerSecond: number;
};

/** Capacity and load of the endpoints of a service in one region. */
export type RegionUsage = {
	readonly region: RegionName;
	readonly slots: number;
	/** Slots at the usual speed: a slot of an endpoint that takes twice as long counts as a half. */
	readonly effectiveSlots: number;
	/** Requests at the endpoints, running and waiting; each counts as one slot. */
	readonly load: number;
};

export type ServiceSharesOptions = {
	readonly clock: Clock;
	/** Region whose requests are divided. */
	readonly localRegion: RegionName;
	/** Request rates of all instances. */
	readonly instances: () => readonly InstanceDemand[];
	/** Slots of a service that are occupied by a rate of one request a second over all services. */
	readonly slotsPerRequest: (service: string) => number;
	/** Usage of the regions in which a service has endpoints. */
	readonly usages: (service: string) => readonly RegionUsage[];
	/** Largest fraction of the requests of a region that may change their serving region within 2 s, from 0 to 1. */
	readonly largestShift: () => number;
};

/** Region shares of all services. */
export type ServiceShares = {
	/** Current shares of a service; they are tracked from the first call on. */
	readonly of: (service: string) => RegionShares;
	/** Updates the shares of all tracked services. Must be called several times a second. */
	readonly updateAll: () => void;
};

/** Fraction of `largestShift` by which shares move in a second. `largestShift` covers 2 s, so shares use half of it. */
const shiftFractionPerSecond = 0.25;
/** Number of instances up to which heartbeats spread all request rates within a few seconds. */
const smallDeploymentInstances = 16;
/**
 * Utilization up to which requests stay in the local region if the demand is inferred. It is lower than with known
 * demand, because surges are detected later.
 */
const inferredLocalUtilization = 0.5;
/** Weight of a new sample in the smoothed load. With several samples a second, a surge is detected within about 2 s. */
const loadSampleWeight = 0.15;
/** Smallest share of the local region from which the demand can be inferred. */
const minimumInformativeShare = 0.05;

/** Shares of a service with the smoothed load by region from which they are computed. */
type ServiceState = {
	readonly shares: RateLimitedShares;
	readonly smoothedLoads: Map<RegionName, number>;
};

/**
 * Infers the demand of each region from the load of its endpoints. The load of the local region divided by its share
 * gives its demand. The demand of another region is its load without the requests from the local region.
 *
 * @param localRegion - Region whose requests are divided.
 * @param usages - Capacity and load of the regions.
 * @param shares - Shares in force while the load was measured.
 * @returns Demand and capacity by region. The demand of the local region is 0 if its share is below 5%.
 */
export const inferDemands = (localRegion: RegionName, usages: readonly RegionUsage[], shares: RegionShares): RegionLoad[] => {
	const localShare = shares.get(localRegion) ?? 0;
	const localLoad = usages.find(({region}) => region === localRegion)?.load ?? 0;
	const localDemand = localShare < minimumInformativeShare ? 0 : localLoad / localShare;
	return usages.map(({region, slots, load}) => ({
		region,
		capacity: slots,
		demand: region === localRegion ? localDemand : Math.max(0, load - (localDemand * (shares.get(region) ?? 0))),
	}));
};

/**
 * Creates region shares without tracked services.
 *
 * @param options - Demand, endpoints and the bound on shifts.
 * @returns The shares.
 */
export const createServiceShares = ({clock, localRegion, instances, slotsPerRequest, usages, largestShift}: ServiceSharesOptions): ServiceShares => {
	const byService = new Map<string, ServiceState>();

	/** Replaces the load of each region by the smoothed one. */
	const smoothLoads = (current: readonly RegionUsage[], smoothedLoads: Map<RegionName, number>): readonly RegionUsage[] => current.map(usage => {
		const previousLoad = smoothedLoads.get(usage.region) ?? usage.load;
		const load = previousLoad + (loadSampleWeight * (usage.load - previousLoad));
		smoothedLoads.set(usage.region, load);
		return {...usage, load};
	});

	/** Demand in slots from the request rates of the instances, and capacity in slots at the usual speed. */
	const reportedLoads = (service: string, current: readonly RegionUsage[]): RegionLoad[] => {
		const demands = new Map<RegionName, number>();
		for (const {region, requestsPerSecond} of instances()) {
			demands.set(region, (demands.get(region) ?? 0) + (requestsPerSecond * slotsPerRequest(service)));
		}

		const capacities = new Map(current.map(({region, effectiveSlots}) => [region, effectiveSlots]));
		const regions = new Set([...demands.keys(), ...capacities.keys()]);
		return [...regions].map(region => ({region, demand: demands.get(region) ?? 0, capacity: capacities.get(region) ?? 0}));
	};

	const targetSharesOf = (service: string, {shares}: ServiceState, current: readonly RegionUsage[]): RegionShares => instances().length <= smallDeploymentInstances
		? targetShares(localRegion, reportedLoads(service, current))
		: targetShares(localRegion, inferDemands(localRegion, current, shares.current()), inferredLocalUtilization);

	const updateService = (service: string, state: ServiceState) => {
		const current = smoothLoads(usages(service), state.smoothedLoads);
		state.shares.update(targetSharesOf(service, state, current), new Set(current.map(({region}) => region)));
	};

	return {
		of(service) {
			let state = byService.get(service);
			if (state === undefined) {
				state = {shares: createRateLimitedShares(clock, largestShift() * shiftFractionPerSecond), smoothedLoads: new Map()};
				byService.set(service, state);
				updateService(service, state);
			}

			return state.shares.current();
		},
		updateAll() {
			for (const [service, state] of byService) {
				updateService(service, state);
			}
		},
	};
};
