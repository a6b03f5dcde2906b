/**
 * Estimates the regions in which the deployment's traffic arrives, from the loads in members' heartbeats.
 */
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {RegionDemand} from './targetSplit.js';

/** Moving average of the demand by region. */
export type RegionDemandEstimator = {
	/** Updates the moving average with the members' latest loads. */
	readonly observe: (members: readonly Member[]) => void;
	/** Returns demands that add up to 1; with little observed traffic they approach the proportions of serving entries. */
	readonly demands: (regions: readonly RegionName[], members: readonly Member[]) => readonly RegionDemand[];
};

/** Requests per second that are added to the observed rate for each serving entry, so that a few requests do not determine the demand. */
const priorRatePerEntry = 5;
/** Time after which the moving average reflects about two thirds of a lasting change. */
const smoothingTimeConstantMs = 30_000;

const requestRateOf = (members: readonly Member[], region: RegionName): number => members
	.filter(member => member.region === region)
	.reduce((sum, member) => sum + member.load.requestsPerSecond, 0);

const servingEntryCount = (members: readonly Member[], region: RegionName): number => members
	.filter(member => member.region === region && member.role === 'entry' && member.state === 'serving')
	.length;

/**
 * Creates an estimator without observations.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The estimator.
 */
export const createRegionDemandEstimator = (clock: Clock): RegionDemandEstimator => {
	const rates = new Map<RegionName, number>();
	let observedAt = clock();

	return {
		observe(members) {
			const now = clock();
			const weight = 1 - Math.exp(-(now - observedAt) / smoothingTimeConstantMs);
			observedAt = now;
			for (const region of new Set([...rates.keys(), ...members.map(member => member.region)])) {
				const before = rates.get(region);
				const rate = requestRateOf(members, region);
				rates.set(region, before === undefined ? rate : before + (weight * (rate - before)));
			}
		},
		demands(regions, members) {
			const weightedRates = regions.map(region => ({region, rate: (rates.get(region) ?? 0) + (priorRatePerEntry * servingEntryCount(members, region))}));
			const total = weightedRates.reduce((sum, {rate}) => sum + rate, 0);
			return weightedRates.map(({region, rate}) => ({region, demand: total > 0 ? rate / total : 1 / regions.length}));
		},
	};
};
