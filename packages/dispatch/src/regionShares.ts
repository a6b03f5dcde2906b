/**
 * Computes which share of the requests of one region, the local region, each region serves. Requests stay in the local
 * region while it has capacity; the excess goes to the regions with spare capacity. Shares change slowly, so that a
 * surge of demand does not cause a sudden shift of traffic between regions.
 */
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** Demand and capacity of a service in one region, both in the same unit. */
export type RegionLoad = {
	readonly region: RegionName;
	readonly demand: number;
	readonly capacity: number;
};

/** Shares of the requests of the local region by serving region. They add up to 1, or the map is empty without capacity. */
export type RegionShares = ReadonlyMap<RegionName, number>;

/** Utilization up to which requests stay in the local region if its demand is known. */
const defaultLocalUtilization = 0.6;

/** Utilization of the total capacity that is assumed before there are requests. */
const assumedUtilization = 0.7;

/** Assigns the same demand to all regions; used before there are requests. */
const withAssumedDemand = (loads: readonly RegionLoad[], totalCapacity: number): readonly RegionLoad[] => loads
	.map(load => ({...load, demand: totalCapacity * assumedUtilization / loads.length}));

/**
 * Computes the shares that match the demand and the capacity of the regions.
 *
 * @param localRegion - Region whose requests are divided.
 * @param regionLoads - Demand and capacity of all regions.
 * @param localUtilization - Utilization of the local region up to which its requests stay there, regardless of the
 * utilization of the other regions.
 * @returns The shares; empty if no region has capacity.
 */
export const targetShares = (localRegion: RegionName, regionLoads: readonly RegionLoad[], localUtilization = defaultLocalUtilization): RegionShares => {
	const totalCapacity = regionLoads.reduce((sum, {capacity}) => sum + capacity, 0);
	const loads = regionLoads.some(({demand}) => demand > 0) ? regionLoads : withAssumedDemand(regionLoads, totalCapacity);
	const totalDemand = loads.reduce((sum, {demand}) => sum + demand, 0);
	const localLoad = loads.find(({region}) => region === localRegion);
	if (totalCapacity <= 0) {
		return new Map();
	}

	const targetUtilization = Math.max(totalDemand / totalCapacity, localUtilization);
	const localDemand = localLoad?.demand ?? 0;
	const localCapacity = localLoad?.capacity ?? 0;
	const localShare = localDemand <= 0 ? Math.sign(localCapacity) : Math.min(1, localCapacity * targetUtilization / localDemand);
	const spareCapacities = loads.filter(({region}) => region !== localRegion).map(({region, demand, capacity}) => ({region, spare: Math.max(0, (capacity * targetUtilization) - demand), capacity}));
	const totalSpare = spareCapacities.reduce((sum, {spare}) => sum + spare, 0);
	const otherCapacity = spareCapacities.reduce((sum, {capacity}) => sum + capacity, 0);
	const shares = new Map<RegionName, number>([[localRegion, localShare]]);
	for (const {region, spare, capacity} of spareCapacities) {
		const fraction = totalSpare > 0 ? spare / totalSpare : capacity / Math.max(otherCapacity, 1);
		shares.set(region, (1 - localShare) * fraction);
	}

	return shares;
};

/** Shares that approach a target at a bounded rate. */
export type RateLimitedShares = {
	/** Moves the shares towards the target. The first call sets them immediately, and a region without capacity loses its share immediately. */
	readonly update: (target: RegionShares, regionsWithCapacity: ReadonlySet<RegionName>) => void;
	/** Shares as of the last update; empty before the first. */
	readonly current: () => RegionShares;
};

const millisecondsPerSecond = 1000;

/**
 * Creates shares that are empty until the first update.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param maximumMovePerSecond - Largest sum of shares that may move to another region within a second.
 * @returns The shares.
 */
export const createRateLimitedShares = (clock: Clock, maximumMovePerSecond: number): RateLimitedShares => {
	let current = new Map<RegionName, number>();
	let updatedAtMs = clock();

	const withoutLostRegions = (regions: ReadonlySet<RegionName>): Map<RegionName, number> => {
		const remaining = [...current].filter(([region]) => regions.has(region));
		const sum = remaining.reduce((total, [, share]) => total + share, 0);
		return new Map(sum > 0 ? remaining.map(([region, share]) => [region, share / sum]) : []);
	};

	return {
		update(target, regionsWithCapacity) {
			const elapsedSeconds = (clock() - updatedAtMs) / millisecondsPerSecond;
			updatedAtMs = clock();
			current = withoutLostRegions(regionsWithCapacity);
			if (current.size === 0) {
				current = new Map(target);
				return;
			}

			const regions = new Set([...target.keys(), ...current.keys()]);
			const moves = [...regions].map(region => ({region, move: (target.get(region) ?? 0) - (current.get(region) ?? 0)}));
			const totalIncrease = moves.reduce((sum, {move}) => sum + Math.max(move, 0), 0);
			const fraction = totalIncrease <= 0 ? 0 : Math.min(1, maximumMovePerSecond * elapsedSeconds / totalIncrease);
			for (const {region, move} of moves) {
				current.set(region, (current.get(region) ?? 0) + (move * fraction));
			}
		},
		current: () => current,
	};
};
