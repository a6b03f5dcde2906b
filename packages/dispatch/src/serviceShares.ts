/**
 * The shares between regions of each service, from what is known of demand and capacity: instances tell each
 * other how many requests they get, and endpoints' slots and speed say what they can take.
 */
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {
	createMovingShares, type MovingShares, type RegionLoad, type Shares, wantedShares,
} from './regionShares.js';

/** Demand of one instance. */
export type InstanceDemand = {
	readonly region: RegionName;
	readonly requestsPerSecond: number;
};

/** Capacity of one endpoint, in slots of the usual speed. */
export type EndpointCapacity = {
	readonly region: RegionName;
	readonly slots: number;
};

/** Parameters of the shares. */
export type ServiceSharesOptions = {
	readonly clock: Clock;
	/** Region whose requests are divided. */
	readonly own: RegionName;
	readonly demands: () => readonly InstanceDemand[];
	readonly capacities: (service: string) => readonly EndpointCapacity[];
	/** Slots of a service that one request a second, of all services, keeps busy. */
	readonly slotsPerRequest: (service: string) => number;
	/** Largest part of a region's requests that may change their serving region within two seconds. */
	readonly largestShift: () => number;
};

/** Shares of all services. */
export type ServiceShares = {
	readonly of: (service: string) => Shares;
	/** Moves all shares; called several times a second. */
	readonly step: () => void;
};

/** Part of the bound on shifts by which shares move in a second: the bound holds for two. */
const partPerSecond = 0.25;

/**
 * Creates shares; those of a service begin when it is first asked for.
 *
 * @param options - Demand, capacity and bound.
 * @returns The shares.
 */
export const createServiceShares = ({clock, own, demands, capacities, slotsPerRequest, largestShift}: ServiceSharesOptions): ServiceShares => {
	const byService = new Map<string, MovingShares>();

	const loadsOf = (service: string): RegionLoad[] => {
		const loads = new Map<RegionName, {demand: number; capacity: number}>();
		const loadOf = (region: RegionName) => {
			const load = loads.get(region) ?? {demand: 0, capacity: 0};
			loads.set(region, load);
			return load;
		};

		for (const {region, requestsPerSecond} of demands()) {
			loadOf(region).demand += requestsPerSecond * slotsPerRequest(service);
		}

		for (const {region, slots} of capacities(service)) {
			loadOf(region).capacity += slots;
		}

		return [...loads].map(([region, {demand, capacity}]) => ({region, demand, capacity}));
	};

	const stepOne = (service: string, moving: MovingShares) => {
		const loads = loadsOf(service);
		const withCapacity = new Set(loads.filter(({capacity}) => capacity > 0).map(({region}) => region));
		moving.update(wantedShares(own, loads), withCapacity);
	};

	return {
		of(service) {
			let moving = byService.get(service);
			if (moving === undefined) {
				moving = createMovingShares(clock, largestShift() * partPerSecond);
				byService.set(service, moving);
				stepOne(service, moving);
			}

			return moving.current();
		},
		step() {
			for (const [service, moving] of byService) {
				stepOne(service, moving);
			}
		},
	};
};
