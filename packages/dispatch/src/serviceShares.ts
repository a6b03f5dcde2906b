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

/** Capacity and load of one endpoint. */
export type EndpointUsage = {
	readonly region: RegionName;
	readonly slots: number;
	/** Processing time at the endpoint relative to the usual one. */
	readonly slowdown: number;
	/** Requests at the endpoint, running and waiting; each counts as one slot. */
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
	readonly endpoints: (service: string) => readonly EndpointUsage[];
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

/** Total capacity and load of the endpoints of a region, in slots. */
type RegionUsage = {
	capacity: number;
	load: number;
};

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
 * @param usages - Capacity and load by region, in slots.
 * @param shares - Shares in force while the load was measured.
 * @returns Demand and capacity by region. The demand of the local region is 0 if its share is below 5%.
 */
export const inferDemands = (localRegion: RegionName, usages: ReadonlyMap<RegionName, Readonly<RegionUsage>>, shares: RegionShares): RegionLoad[] => {
	const localShare = shares.get(localRegion) ?? 0;
	const localDemand = localShare < minimumInformativeShare ? 0 : (usages.get(localRegion)?.load ?? 0) / localShare;
	return [...usages].map(([region, {capacity, load}]) => ({
		region,
		capacity,
		demand: region === localRegion ? localDemand : Math.max(0, load - (localDemand * (shares.get(region) ?? 0))),
	}));
};

/**
 * Creates region shares without tracked services.
 *
 * @param options - Demand, endpoints and the bound on shifts.
 * @returns The shares.
 */
export const createServiceShares = ({clock, localRegion, instances, slotsPerRequest, endpoints, largestShift}: ServiceSharesOptions): ServiceShares => {
	const byService = new Map<string, ServiceState>();

	const measureUsages = (service: string, smoothedLoads: Map<RegionName, number>): ReadonlyMap<RegionName, RegionUsage> => {
		const usages = new Map<RegionName, RegionUsage>();
		for (const {region, slots, load} of endpoints(service)) {
			const usage = usages.get(region) ?? {capacity: 0, load: 0};
			usages.set(region, usage);
			usage.capacity += slots;
			usage.load += load;
		}

		for (const [region, usage] of usages) {
			const previousLoad = smoothedLoads.get(region) ?? usage.load;
			usage.load = previousLoad + (loadSampleWeight * (usage.load - previousLoad));
			smoothedLoads.set(region, usage.load);
		}

		return usages;
	};

	/** Demand in slots from the request rates of the instances, and capacity in slots at the usual speed. */
	const reportedLoads = (service: string): RegionLoad[] => {
		const loadByRegion = new Map<RegionName, {demand: number; capacity: number}>();
		const loadOf = (region: RegionName) => {
			const load = loadByRegion.get(region) ?? {demand: 0, capacity: 0};
			loadByRegion.set(region, load);
			return load;
		};

		for (const {region, requestsPerSecond} of instances()) {
			loadOf(region).demand += requestsPerSecond * slotsPerRequest(service);
		}

		for (const {region, slots, slowdown} of endpoints(service)) {
			loadOf(region).capacity += slots / slowdown;
		}

		return [...loadByRegion].map(([region, {demand, capacity}]) => ({region, demand, capacity}));
	};

	const targetSharesOf = (service: string, {shares}: ServiceState, usages: ReadonlyMap<RegionName, RegionUsage>): RegionShares => instances().length <= smallDeploymentInstances
		? targetShares(localRegion, reportedLoads(service))
		: targetShares(localRegion, inferDemands(localRegion, usages, shares.current()), inferredLocalUtilization);

	const updateService = (service: string, state: ServiceState) => {
		const usages = measureUsages(service, state.smoothedLoads);
		state.shares.update(targetSharesOf(service, state, usages), new Set(usages.keys()));
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
