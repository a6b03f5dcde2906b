/**
 * Where the deployment's traffic arrives, from the members' heartbeats.
 */
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {RegionDemand} from './zoneTarget.js';

/** Running estimate of the demand by region. */
export type RegionDemandEstimate = {
	/** Takes in the members' latest loads. */
	readonly observe: (members: readonly Member[]) => void;
	/** Demands that add up to 1; near the proportion of entries where little traffic is known. */
	readonly demands: (regions: readonly RegionName[], members: readonly Member[]) => readonly RegionDemand[];
};

/** Requests a second that are assumed at each entry beside the known ones, so that a few requests do not look like a demand. */
const priorPerEntry = 5;
/** Time in which a lasting change of demand is taken in to about two thirds. */
const smoothingMs = 30_000;

const rateOf = (members: readonly Member[], region: RegionName): number => members
	.filter(member => member.region === region)
	.reduce((sum, member) => sum + member.load.requestsPerSecond, 0);

const countOf = (members: readonly Member[], region: RegionName): number => members
	.filter(member => member.region === region && member.role === 'entry' && member.state === 'serving')
	.length;

/**
 * Creates an estimate without observations.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The estimate.
 */
export const createRegionDemand = (clock: Clock): RegionDemandEstimate => {
	const rates = new Map<RegionName, number>();
	let observedAt = clock();

	return {
		observe(members) {
			const now = clock();
			const weight = 1 - Math.exp(-(now - observedAt) / smoothingMs);
			observedAt = now;
			for (const region of new Set([...rates.keys(), ...members.map(member => member.region)])) {
				const before = rates.get(region);
				const rate = rateOf(members, region);
				rates.set(region, before === undefined ? rate : before + (weight * (rate - before)));
			}
		},
		demands(regions, members) {
			const expectations = regions.map(region => ({region, rate: (rates.get(region) ?? 0) + (priorPerEntry * countOf(members, region))}));
			const total = expectations.reduce((sum, {rate}) => sum + rate, 0);
			return expectations.map(({region, rate}) => ({region, demand: total > 0 ? rate / total : 1 / regions.length}));
		},
	};
};
