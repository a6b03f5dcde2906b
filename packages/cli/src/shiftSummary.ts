/**
 * Aggregates the shifts in progress at several entries. Each entry shifts its own traffic, so the share
 * of the whole deployment is the mean of the entries' shares, weighted by their request rates.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {ShiftHold, ShiftProgress, ZoneShare} from '@filbertwell/types/split';

/** The current and the target share of a service's traffic in an availability zone. */
export type ZoneMove = {
	readonly availabilityZone: string;
	readonly current: number;
	readonly target: number;
};

/** A reason that limits a shift, and the number of entries where it applies. */
export type HoldCount = {
	readonly heldBy: ShiftHold;
	readonly entries: number;
};

/** Shift of a service's traffic, aggregated over the queried entries. */
export type ShiftSummary = {
	readonly service: string;
	readonly moves: readonly ZoneMove[];
	/** Share still to move, from 0 to 1. */
	readonly remaining: number;
	readonly holds: readonly HoldCount[];
	/** Longest remaining time of an entry in seconds; infinite if the time is unknown at an entry. */
	readonly secondsLeft: number;
};

type WeightedProgress = {
	readonly progress: ShiftProgress;
	readonly weight: number;
};

/** Added to each entry's request rate, so that the total weight is not 0 when all entries are idle. */
const idleWeight = 0.001;

const weightedMean = (items: readonly WeightedProgress[], select: (progress: ShiftProgress) => number): number => {
	const total = items.reduce((sum, {weight}) => sum + weight, 0);
	return items.reduce((sum, {progress, weight}) => sum + (select(progress) * weight), 0) / total;
};

const findShare = (shares: readonly ZoneShare[], zone: string): number => shares.find(({availabilityZone}) => availabilityZone === zone)?.share ?? 0;

const summarizeMoves = (items: readonly WeightedProgress[]): ZoneMove[] => {
	const zones = new Set(items.flatMap(({progress}) => [...progress.current, ...progress.target].map(share => share.availabilityZone)));
	return [...zones].toSorted().map(zone => ({
		availabilityZone: zone,
		current: weightedMean(items, progress => findShare(progress.current, zone)),
		target: weightedMean(items, progress => findShare(progress.target, zone)),
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
 * Aggregates the shifts in progress by service.
 *
 * @param states - States of the queried entries.
 * @returns One summary for each service with traffic still to move, ordered by the name of the service.
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
