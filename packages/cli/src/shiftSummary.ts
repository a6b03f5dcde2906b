/**
 * Sums up the shifts in progress at several entries. Each entry moves its own traffic, so the whole
 * is the mean of the entries, weighted by their requests.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {ShiftHold, ShiftProgress, ZoneShare} from '@filbertwell/types/split';

/** A zone's share of a service's traffic, now and as intended. */
export type ZoneMove = {
	readonly availabilityZone: string;
	readonly current: number;
	readonly target: number;
};

/** What holds a shift back, and at how many entries. */
export type HoldCount = {
	readonly heldBy: ShiftHold;
	readonly entries: number;
};

/** A service's shift over all entries that were asked. */
export type ShiftSummary = {
	readonly service: string;
	readonly moves: readonly ZoneMove[];
	/** Share still to move, from 0 to 1. */
	readonly remaining: number;
	readonly holds: readonly HoldCount[];
	/** Longest time that an entry still needs; infinite where one is held for an unknown time. */
	readonly secondsLeft: number;
};

type WeightedProgress = {
	readonly progress: ShiftProgress;
	readonly weight: number;
};

/** An idle entry still counts a little, so that a deployment at rest has a mean. */
const idleWeight = 0.001;

const weightedMean = (items: readonly WeightedProgress[], select: (progress: ShiftProgress) => number): number => {
	const total = items.reduce((sum, {weight}) => sum + weight, 0);
	return items.reduce((sum, {progress, weight}) => sum + (select(progress) * weight), 0) / total;
};

const shareOf = (shares: readonly ZoneShare[], zone: string): number => shares.find(({availabilityZone}) => availabilityZone === zone)?.share ?? 0;

const summarizeMoves = (items: readonly WeightedProgress[]): ZoneMove[] => {
	const zones = new Set(items.flatMap(({progress}) => [...progress.current, ...progress.target].map(share => share.availabilityZone)));
	return [...zones].toSorted().map(zone => ({
		availabilityZone: zone,
		current: weightedMean(items, progress => shareOf(progress.current, zone)),
		target: weightedMean(items, progress => shareOf(progress.target, zone)),
	}));
};

const countHolds = (items: readonly WeightedProgress[]): HoldCount[] => {
	const counts = new Map<ShiftHold, number>();
	for (const {progress: {heldBy}} of items) {
		counts.set(heldBy, (counts.get(heldBy) ?? 0) + 1);
	}

	return [...counts].map(([heldBy, entries]) => ({heldBy, entries}));
};

/**
 * Sums up the shifts in progress.
 *
 * @param states - States of some entries.
 * @returns One summary for each service with traffic still to move, ordered by name.
 */
export const summarizeShifts = (states: readonly EntryState[]): ShiftSummary[] => {
	const byService = new Map<string, WeightedProgress[]>();
	for (const {self, shifts} of states) {
		for (const progress of shifts) {
			const items = byService.get(progress.service) ?? [];
			items.push({progress, weight: self.load.requestsPerSecond + idleWeight});
			byService.set(progress.service, items);
		}
	}

	return [...byService]
		.map(([service, items]) => ({
			service,
			moves: summarizeMoves(items),
			remaining: weightedMean(items, progress => progress.remaining),
			holds: countHolds(items),
			secondsLeft: Math.max(...items.map(({progress}) => progress.secondsLeft)),
		}))
		.filter(({remaining}) => remaining > 0)
		.toSorted((a, b) => a.service < b.service ? -1 : 1);
};
