/**
 * Selects the instances that a caller should connect to: those of its own region, or all if there are none. If instances
 * differ in capacity, the small ones are only included under high demand: with fewer instances sharing the endpoints'
 * slots, each has more complete load information, and no small instance becomes a bottleneck.
 */
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** Location of a caller; empty strings for unknown parts. */
export type CallerPlace = {
	readonly region: string;
	readonly availabilityZone: string;
};

/** Selects instances for a caller; returns addresses as `host:port`, preferred ones first. */
export type SelectNearbyInstances = (members: readonly Member[], place: CallerPlace) => string[];

/** Parameters of the selection. */
export type NearbyInstanceSelectorOptions = {
	readonly clock: Clock;
	/** Maximum number of addresses to return. */
	readonly maximum: number;
};

/** Fraction of the largest instance's capacity from which an instance counts as large. */
const largeCapacityFraction = 0.5;
/** Minimum number of instances to return, if there are enough; with fewer, losing one would affect too many callers. */
const minimumInstances = 3;
/** Sustained requests per second and core: a request takes 1.5 ms of processor time, and half the core is spare for peaks. */
const requestsPerSecondPerCore = 300;
/** Half-life of a demand peak, in milliseconds; it keeps the selection stable when the demand fluctuates. */
const peakHalfLifeMs = 20_000;

type Peak = {
	readonly requestsPerSecond: number;
	readonly atMs: number;
};

const isServing = ({state, health, role}: Member): boolean => role === 'entry' && state === 'serving' && health === 'alive';

const capacityOf = ({capacity}: Member): number => capacity ?? 1;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Creates a selection that remembers the recent peak demand of each region.
 *
 * @param options - Clock and maximum number of addresses.
 * @returns Selects instances of the caller's region, those in its availability zone first; if the region has none, of all regions.
 */
export const createNearbyInstanceSelector = ({clock, maximum}: NearbyInstanceSelectorOptions): SelectNearbyInstances => {
	const peaks = new Map<RegionName, Peak>();

	const decayingPeak = (region: RegionName, requestsPerSecond: number): number => {
		const previous = peaks.get(region);
		const decayed = previous === undefined ? 0 : previous.requestsPerSecond * (0.5 ** ((clock() - previous.atMs) / peakHalfLifeMs));
		const peak = Math.max(decayed, requestsPerSecond);
		peaks.set(region, {requestsPerSecond: peak, atMs: clock()});
		return peak;
	};

	/** Returns the large instances, at least the minimum number, if they can carry the demand, otherwise all; largest first. */
	const selectForDemand = (instances: readonly Member[], demand: number): readonly Member[] => {
		const bySize = instances.toSorted((a, b) => capacityOf(b) - capacityOf(a) || (a.id < b.id ? -1 : 1));
		const largest = capacityOf(bySize[0]!);
		const large = bySize.filter(member => capacityOf(member) >= largest * largeCapacityFraction);
		const sustainableRate = sum(large.map(member => capacityOf(member))) * requestsPerSecondPerCore;
		return sustainableRate >= demand ? bySize.slice(0, Math.max(large.length, minimumInstances)) : bySize;
	};

	return (members, place) => {
		const serving = members.filter(member => isServing(member));
		const inRegion = serving.filter(({region}) => region === place.region);
		const candidates = inRegion.length > 0 ? inRegion : serving;
		if (candidates.length === 0) {
			return [];
		}

		const demand = decayingPeak(place.region, sum(candidates.map(({load}) => load.requestsPerSecond)));
		const isInCallerZone = ({availabilityZone}: Member): boolean => availabilityZone === place.availabilityZone;
		return selectForDemand(candidates, demand)
			.toSorted((a, b) => Number(isInCallerZone(b)) - Number(isInCallerZone(a)))
			.slice(0, maximum)
			.map(({callerAddress}) => `${callerAddress.host}:${callerAddress.port}`);
	};
};
