/**
 * The shares between regions of each service. In a small deployment instances tell each other within seconds how many
 * requests they get. In a large one that takes too long; there, what endpoints report of their load shows the demand.
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

/** Capacity and use of one endpoint. */
export type EndpointUse = {
	readonly region: RegionName;
	readonly slots: number;
	/** How long work takes there, relative to the usual. */
	readonly slowdown: number;
	/** Requests there, running and waiting, in the unit of the slots. */
	readonly load: number;
};

/** Parameters of the shares. */
export type ServiceSharesOptions = {
	readonly clock: Clock;
	/** Region whose requests are divided. */
	readonly own: RegionName;
	/** What all instances get. */
	readonly demands: () => readonly InstanceDemand[];
	/** Slots of a service that one request a second, of all services, keeps busy. */
	readonly slotsPerRequest: (service: string) => number;
	readonly endpoints: (service: string) => readonly EndpointUse[];
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
/** Instances up to which heartbeats tell each one's requests within a few seconds. */
const smallDeployment = 16;
/** Use up to which requests stay at home where the demand is inferred; the rest is for waves, seen later so. */
const inferredHomeUse = 0.5;
/** Weight of a new observation in the smoothed use, several times a second: a wave is seen within about 2 s. */
const observationWeight = 0.15;
/** Share of the own region below which its use no longer tells the demand. */
const tellingShare = 0.05;

/** Use of a region's endpoints by all instances. */
type RegionUse = {
	capacity: number;
	load: number;
};

/** A service's shares with the use that they follow. */
type FollowedService = {
	readonly moving: MovingShares;
	readonly loads: Map<RegionName, number>;
};

/**
 * Computes demand and capacity by region from what its endpoints carry. All of the own region's requests that run at
 * home are a known share of its demand, which gives the rest; what the other regions carry beside them is theirs.
 *
 * @param own - Region whose requests are divided.
 * @param uses - Capacity and load by region.
 * @param shares - Shares in force, under which the loads came about.
 * @returns Demand and capacity; a demand of 0 where the own share is too small to tell.
 */
export const demandsByUse = (own: RegionName, uses: ReadonlyMap<RegionName, Readonly<RegionUse>>, shares: Shares): RegionLoad[] => {
	const homeShare = shares.get(own) ?? 0;
	const ownDemand = homeShare < tellingShare ? 0 : (uses.get(own)?.load ?? 0) / homeShare;
	return [...uses].map(([region, {capacity, load}]) => ({
		region,
		capacity,
		demand: region === own ? ownDemand : Math.max(0, load - (ownDemand * (shares.get(region) ?? 0))),
	}));
};

/**
 * Creates shares; those of a service begin when it is first asked for.
 *
 * @param options - Endpoints and bound.
 * @returns The shares.
 */
export const createServiceShares = ({clock, own, demands, slotsPerRequest, endpoints, largestShift}: ServiceSharesOptions): ServiceShares => {
	const byService = new Map<string, FollowedService>();

	const usesOf = (service: string, loads: Map<RegionName, number>): ReadonlyMap<RegionName, RegionUse> => {
		const uses = new Map<RegionName, RegionUse>();
		for (const {region, slots, load} of endpoints(service)) {
			const use = uses.get(region) ?? {capacity: 0, load: 0};
			uses.set(region, use);
			use.capacity += slots;
			use.load += load;
		}

		for (const [region, use] of uses) {
			const known = loads.get(region) ?? use.load;
			use.load = known + (observationWeight * (use.load - known));
			loads.set(region, use.load);
		}

		return uses;
	};

	/** Demand in slots by what instances tell, against capacity in slots of the usual speed. */
	const toldLoads = (service: string): RegionLoad[] => {
		const told = new Map<RegionName, {demand: number; capacity: number}>();
		const loadOf = (region: RegionName) => {
			const load = told.get(region) ?? {demand: 0, capacity: 0};
			told.set(region, load);
			return load;
		};

		for (const {region, requestsPerSecond} of demands()) {
			loadOf(region).demand += requestsPerSecond * slotsPerRequest(service);
		}

		for (const {region, slots, slowdown} of endpoints(service)) {
			loadOf(region).capacity += slots / slowdown;
		}

		return [...told].map(([region, {demand, capacity}]) => ({region, demand, capacity}));
	};

	const wanted = (service: string, {moving}: FollowedService, uses: ReadonlyMap<RegionName, RegionUse>): Shares => demands().length <= smallDeployment
		? wantedShares(own, toldLoads(service))
		: wantedShares(own, demandsByUse(own, uses, moving.current()), inferredHomeUse);

	const stepOne = (service: string, followed: FollowedService) => {
		const uses = usesOf(service, followed.loads);
		followed.moving.update(wanted(service, followed, uses), new Set(uses.keys()));
	};

	return {
		of(service) {
			let followed = byService.get(service);
			if (followed === undefined) {
				followed = {moving: createMovingShares(clock, largestShift() * partPerSecond), loads: new Map()};
				byService.set(service, followed);
				stepOne(service, followed);
			}

			return followed.moving.current();
		},
		step() {
			for (const [service, followed] of byService) {
				stepOne(service, followed);
			}
		},
	};
};
