/**
 * Computes the target distribution of a service's traffic over regions.
 *
 * Every entry computes the flow between all regions from the same inputs and uses the part that
 * starts in its own region, so no leader is needed. Traffic stays in its region unless a limit, drain,
 * shift or failure prevents it; traffic that a region may not take goes to the others in proportion
 * to their slots.
 */
import type {RegionName} from '@filbertwell/types/place';

/** Capacity, limits and demand of a region for one service. */
export type RegionCapacity = {
	readonly region: RegionName;
	/** Slots of the usable endpoints; 0 if the region is drained or has failed. */
	readonly slots: number;
	/** Largest share of the service's traffic that the region may take, from 0 to 1. */
	readonly maximumShare: number;
	/** Share that an operator's shift requests, from 0 to 1; `undefined` without a shift. */
	readonly requestedShare: number | undefined;
	/** Share of the service's traffic that arrives in the region, from 0 to 1. */
	readonly demand: number;
};

/** Fraction of an origin region's traffic that is assigned to a region, from 0 to 1. */
export type RegionFlow = {
	readonly region: RegionName;
	readonly fraction: number;
};

type RegionState = {
	readonly capacity: RegionCapacity;
	readonly ceiling: number;
	readonly floor: number;
	assignedShare: number;
};

const negligibleShare = 1e-9;

const ceilingOf = ({slots, maximumShare, requestedShare}: RegionCapacity): number => {
	if (slots <= 0) {
		return 0;
	}

	return Math.min(maximumShare, requestedShare ?? 1);
};

const createStates = (capacities: readonly RegionCapacity[]): RegionState[] => capacities.map(capacity => {
	const ceiling = ceilingOf(capacity);
	return {
		capacity,
		ceiling,
		floor: Math.min(ceiling, capacity.requestedShare ?? 0),
		assignedShare: capacity.demand,
	};
});

/**
 * Releases the excess over the ceilings; if that does not cover the requested shares, also takes
 * the rest from the regions without a requested share. Returns the total released.
 */
const releaseExcess = (states: readonly RegionState[]): number => {
	let released = 0;
	for (const state of states) {
		const excess = Math.max(0, state.assignedShare - state.ceiling);
		state.assignedShare -= excess;
		released += excess;
	}

	const shortfall = states.reduce((sum, state) => sum + Math.max(0, state.floor - state.assignedShare), 0) - released;
	const donors = states.filter(state => state.capacity.requestedShare === undefined && state.assignedShare > 0);
	const available = donors.reduce((sum, state) => sum + state.assignedShare, 0);
	if (shortfall > negligibleShare && available > negligibleShare) {
		const fraction = Math.min(1, shortfall / available);
		for (const donor of donors) {
			const given = donor.assignedShare * fraction;
			donor.assignedShare -= given;
			released += given;
		}
	}

	return released;
};

/** Distributes a pool over regions in proportion to their slots, up to a limit for each. Returns the part that exceeds the limits. */
const fillRegions = (states: readonly RegionState[], pool: number, limitOf: (state: RegionState) => number): number => {
	let remaining = pool;
	while (remaining > negligibleShare) {
		const withRoom = states.filter(state => limitOf(state) - state.assignedShare > negligibleShare);
		const slots = withRoom.reduce((sum, state) => sum + state.capacity.slots, 0);
		if (slots === 0) {
			break;
		}

		const distributable = remaining;
		for (const state of withRoom) {
			const given = Math.min(distributable * state.capacity.slots / slots, limitOf(state) - state.assignedShare);
			state.assignedShare += given;
			remaining -= given;
		}
	}

	return Math.max(0, remaining);
};

/**
 * Computes which regions take the traffic that arrives in one region.
 *
 * @param origin - Region where the traffic arrives.
 * @param capacities - All regions of the deployment; their demands add up to 1.
 * @returns Fractions of the origin's traffic by region. They add up to less than 1 if the limits of
 * the regions do not admit all traffic; the rest must be refused.
 */
export const flowFromRegion = (origin: RegionName, capacities: readonly RegionCapacity[]): readonly RegionFlow[] => {
	const states = createStates(capacities);
	const pool = releaseExcess(states);
	// The share that each region keeps of its own traffic is final before the pool is distributed.
	const kept = new Map(states.map(state => [state.capacity.region, state.assignedShare]));
	const afterFloors = fillRegions(states, pool, state => state.floor);
	fillRegions(states, afterFloors, state => state.ceiling);

	const originState = states.find(state => state.capacity.region === origin);
	const originDemand = originState?.capacity.demand ?? 0;
	const ownKept = originDemand > negligibleShare ? (kept.get(origin) ?? 0) / originDemand : Number((originState?.ceiling ?? 0) > 0);
	const ownReleased = 1 - ownKept;
	return states.map(state => {
		const received = state.assignedShare - (kept.get(state.capacity.region) ?? 0);
		const fromPool = pool > negligibleShare ? ownReleased * received / pool : 0;
		const own = state.capacity.region === origin ? ownKept : 0;
		return {region: state.capacity.region, fraction: own + fromPool};
	});
};
