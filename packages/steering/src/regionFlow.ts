/**
 * Target division of a service's traffic between regions.
 *
 * Every entry computes the whole flow from the same inputs and uses the row of its own region, so
 * no leader is needed. Traffic stays in its region unless a limit, a drain, a shift or a failure
 * forbids it; what a region may not take goes to the others in proportion to their slots.
 */
import type {RegionName} from '@filbertwell/types/place';

/** What a region can and may take of one service. */
export type RegionCapacity = {
	readonly region: RegionName;
	/** Slots of the endpoints that may be used; 0 for a region that is drained or has failed. */
	readonly slots: number;
	/** Largest share of the service's traffic, from 0 to 1. */
	readonly maximumShare: number;
	/** Share that an operator's shift asks for; `undefined` without one. */
	readonly wantedShare: number | undefined;
	/** Share of the service's traffic that arrives in the region, from 0 to 1. */
	readonly demand: number;
};

/** Part of an origin's traffic that a region is to take, from 0 to 1. */
export type RegionFlow = {
	readonly region: RegionName;
	readonly fraction: number;
};

type RegionState = {
	readonly capacity: RegionCapacity;
	readonly ceiling: number;
	readonly floor: number;
	taken: number;
};

const negligibleShare = 1e-9;

const ceilingOf = ({slots, maximumShare, wantedShare}: RegionCapacity): number => {
	if (slots <= 0) {
		return 0;
	}

	return Math.min(maximumShare, wantedShare ?? 1);
};

const createStates = (capacities: readonly RegionCapacity[]): RegionState[] => capacities.map(capacity => {
	const ceiling = ceilingOf(capacity);
	return {
		capacity,
		ceiling,
		floor: Math.min(ceiling, capacity.wantedShare ?? 0),
		taken: capacity.demand,
	};
});

/** Takes what exceeds the ceilings, then what wanted shares still need from regions without one. */
const releaseExcess = (states: readonly RegionState[]): number => {
	let released = 0;
	for (const state of states) {
		const excess = Math.max(0, state.taken - state.ceiling);
		state.taken -= excess;
		released += excess;
	}

	const missing = states.reduce((sum, state) => sum + Math.max(0, state.floor - state.taken), 0) - released;
	const donors = states.filter(state => state.capacity.wantedShare === undefined && state.taken > 0);
	const available = donors.reduce((sum, state) => sum + state.taken, 0);
	if (missing > negligibleShare && available > negligibleShare) {
		const fraction = Math.min(1, missing / available);
		for (const donor of donors) {
			const given = donor.taken * fraction;
			donor.taken -= given;
			released += given;
		}
	}

	return released;
};

/** Fills regions up to a limit in proportion to their slots; returns what found no room. */
const fillRegions = (states: readonly RegionState[], pool: number, limitOf: (state: RegionState) => number): number => {
	let remaining = pool;
	while (remaining > negligibleShare) {
		const open = states.filter(state => limitOf(state) - state.taken > negligibleShare);
		const slots = open.reduce((sum, state) => sum + state.capacity.slots, 0);
		if (slots === 0) {
			break;
		}

		const round = remaining;
		for (const state of open) {
			const given = Math.min(round * state.capacity.slots / slots, limitOf(state) - state.taken);
			state.taken += given;
			remaining -= given;
		}
	}

	return Math.max(0, remaining);
};

/**
 * Computes where the traffic that arrives in one region is to go.
 *
 * @param origin - Region of the entry.
 * @param capacities - Every region of the deployment; the demands add up to 1.
 * @returns Fractions of the origin's traffic for each region. They add up to less than 1 where the
 * regions' limits leave no room; the rest is to be refused.
 */
export const flowFromRegion = (origin: RegionName, capacities: readonly RegionCapacity[]): readonly RegionFlow[] => {
	const states = createStates(capacities);
	const pool = releaseExcess(states);
	// What each region keeps of its own traffic is known before the pool is given out.
	const kept = new Map(states.map(state => [state.capacity.region, state.taken]));
	const afterWanted = fillRegions(states, pool, state => state.floor);
	fillRegions(states, afterWanted, state => state.ceiling);

	const originState = states.find(state => state.capacity.region === origin);
	const originDemand = originState?.capacity.demand ?? 0;
	const ownKept = originDemand > negligibleShare ? (kept.get(origin) ?? 0) / originDemand : Number((originState?.ceiling ?? 0) > 0);
	const ownReleased = 1 - ownKept;
	return states.map(state => {
		const received = state.taken - (kept.get(state.capacity.region) ?? 0);
		const fromPool = pool > negligibleShare ? ownReleased * received / pool : 0;
		const own = state.capacity.region === origin ? ownKept : 0;
		return {region: state.capacity.region, fraction: own + fromPool};
	});
};
