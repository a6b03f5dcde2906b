/**
 * Which part of a region's requests each region serves. Requests stay in their own region while it has
 * room; a region whose demand is above its part of the capacity sends the excess to the regions with
 * room. Shares move slowly: a wave of demand must not turn into a jump of traffic between regions.
 */
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** Demand and capacity of a service in one region, both in the same unit. */
export type RegionLoad = {
	readonly region: RegionName;
	readonly demand: number;
	readonly capacity: number;
};

/** Shares of the own region's requests by serving region; they add up to 1 where there is capacity. */
export type Shares = ReadonlyMap<RegionName, number>;

/** Use of a region's capacity up to which its requests stay at home where its demand is known. */
const usualHomeUse = 0.6;

/** Use of the capacity that is assumed before there are requests. */
const assumedUse = 0.7;

/** Before there are requests, all regions are taken to have the same demand. */
const withAssumedDemand = (loads: readonly RegionLoad[], totalCapacity: number): readonly RegionLoad[] => loads
	.map(load => ({...load, demand: totalCapacity * assumedUse / loads.length}));

/**
 * Computes the shares that demand and capacity call for.
 *
 * @param own - Region whose requests are divided.
 * @param given - Demand and capacity of all regions.
 * @param homeUse - Use of a region's capacity up to which its requests stay at home, whatever the others' use.
 * @returns The shares.
 */
export const wantedShares = (own: RegionName, given: readonly RegionLoad[], homeUse = usualHomeUse): Shares => {
	const totalCapacity = given.reduce((sum, {capacity}) => sum + capacity, 0);
	const loads = given.some(({demand}) => demand > 0) ? given : withAssumedDemand(given, totalCapacity);
	const totalDemand = loads.reduce((sum, {demand}) => sum + demand, 0);
	const home = loads.find(({region}) => region === own);
	if (totalCapacity <= 0) {
		return new Map();
	}

	const evenUse = Math.max(totalDemand / totalCapacity, homeUse);
	const homeDemand = home?.demand ?? 0;
	const homeCapacity = home?.capacity ?? 0;
	const homeShare = homeDemand <= 0 ? Math.sign(homeCapacity) : Math.min(1, homeCapacity * evenUse / homeDemand);
	const rooms = loads.filter(({region}) => region !== own).map(({region, demand, capacity}) => ({region, room: Math.max(0, (capacity * evenUse) - demand), capacity}));
	const totalRoom = rooms.reduce((sum, {room}) => sum + room, 0);
	const otherCapacity = rooms.reduce((sum, {capacity}) => sum + capacity, 0);
	const shares = new Map<RegionName, number>([[own, homeShare]]);
	for (const {region, room, capacity} of rooms) {
		const part = totalRoom > 0 ? room / totalRoom : capacity / Math.max(otherCapacity, 1);
		shares.set(region, (1 - homeShare) * part);
	}

	return shares;
};

/** Shares that follow what is wanted at a bounded speed. */
export type MovingShares = {
	/** Moves the shares towards those wanted; the first call and a lost region move them at once. */
	readonly update: (wanted: Shares, regionsWithCapacity: ReadonlySet<RegionName>) => void;
	readonly current: () => Shares;
};

const millisecondsPerSecond = 1000;

/**
 * Creates shares that are empty until the first update.
 *
 * @param clock - Monotonic milliseconds.
 * @param largestMovePerSecond - Largest sum of the shares that may change region in a second.
 * @returns The shares.
 */
export const createMovingShares = (clock: Clock, largestMovePerSecond: number): MovingShares => {
	let current = new Map<RegionName, number>();
	let updatedAtMs = clock();

	const withoutLost = (regions: ReadonlySet<RegionName>): Map<RegionName, number> => {
		const kept = [...current].filter(([region]) => regions.has(region));
		const sum = kept.reduce((total, [, share]) => total + share, 0);
		return new Map(sum > 0 ? kept.map(([region, share]) => [region, share / sum]) : []);
	};

	return {
		update(wanted, regionsWithCapacity) {
			const elapsedSeconds = (clock() - updatedAtMs) / millisecondsPerSecond;
			updatedAtMs = clock();
			current = withoutLost(regionsWithCapacity);
			if (current.size === 0) {
				current = new Map(wanted);
				return;
			}

			const regions = new Set([...wanted.keys(), ...current.keys()]);
			const moves = [...regions].map(region => ({region, move: (wanted.get(region) ?? 0) - (current.get(region) ?? 0)}));
			const gained = moves.reduce((sum, {move}) => sum + Math.max(move, 0), 0);
			const part = gained <= 0 ? 0 : Math.min(1, largestMovePerSecond * elapsedSeconds / gained);
			for (const {region, move} of moves) {
				current.set(region, (current.get(region) ?? 0) + (move * part));
			}
		},
		current: () => current,
	};
};
