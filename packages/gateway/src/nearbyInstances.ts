/**
 * Which instances a caller should connect to: those of its own region, else all. Where instances differ in size,
 * the large ones carry the traffic and the small ones join when it presses: fewer instances share the endpoints'
 * slots and know more of their load, and none of them is a bottleneck of its own.
 */
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** Where a caller is. */
export type CallerPlace = {
	readonly region: string;
	readonly availabilityZone: string;
};

/** Chooses instances for a caller; each as `host:port`. */
export type NearbyInstances = (members: readonly Member[], place: CallerPlace) => string[];

/** Parameters of the choice. */
export type NearbyInstancesOptions = {
	readonly clock: Clock;
	/** Most instances in an answer. */
	readonly maximum: number;
};

/** Part of the largest instance's processor from which an instance counts as large. */
const largePart = 0.5;
/** Fewer instances than this are no choice: one that is lost takes too many of its callers along. */
const leastInstances = 3;
/** Requests a second that a core carries with ease: a request takes 1.5 ms of it, and half stays free for waves. */
const requestsPerCore = 300;
/** Time in which a peak of the demand halves, in milliseconds: the choice must not follow each wave. */
const peakHalfLifeMs = 20_000;

type Peak = {
	readonly requestsPerSecond: number;
	readonly atMs: number;
};

const isServing = ({state, health, role}: Member): boolean => role === 'entry' && state === 'serving' && health === 'alive';

const capacityOf = ({capacity}: Member): number => capacity ?? 1;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Creates the choice.
 *
 * @param options - Clock and size of the answers.
 * @returns The choice: instances of the caller's region, own zone first; those of all regions where it has none.
 */
export const createNearbyInstances = ({clock, maximum}: NearbyInstancesOptions): NearbyInstances => {
	const peaks = new Map<RegionName, Peak>();

	const peakOf = (region: RegionName, requestsPerSecond: number): number => {
		const known = peaks.get(region);
		const faded = known === undefined ? 0 : known.requestsPerSecond * (0.5 ** ((clock() - known.atMs) / peakHalfLifeMs));
		const peak = Math.max(faded, requestsPerSecond);
		peaks.set(region, {requestsPerSecond: peak, atMs: clock()});
		return peak;
	};

	/** The large instances, and as many of the smaller ones as the demand needs. */
	const sufficient = (instances: readonly Member[], demand: number): readonly Member[] => {
		const bySize = instances.toSorted((a, b) => capacityOf(b) - capacityOf(a) || (a.id < b.id ? -1 : 1));
		const largest = capacityOf(bySize[0]!);
		const large = bySize.filter(member => capacityOf(member) >= largest * largePart);
		const carried = sum(large.map(member => capacityOf(member))) * requestsPerCore;
		return carried >= demand ? bySize.slice(0, Math.max(large.length, leastInstances)) : bySize;
	};

	return (members, place) => {
		const serving = members.filter(member => isServing(member));
		const inRegion = serving.filter(({region}) => region === place.region);
		const candidates = inRegion.length > 0 ? inRegion : serving;
		if (candidates.length === 0) {
			return [];
		}

		const demand = peakOf(place.region, sum(candidates.map(({load}) => load.requestsPerSecond)));
		const isNear = ({availabilityZone}: Member): boolean => availabilityZone === place.availabilityZone;
		return sufficient(candidates, demand)
			.toSorted((a, b) => Number(isNear(b)) - Number(isNear(a)))
			.slice(0, maximum)
			.map(({callerAddress}) => `${callerAddress.host}:${callerAddress.port}`);
	};
};
