/**
 * How much of a service's traffic moved between regions, from the runs at the upstreams.
 */
import type {RegionName} from '@filbertwell/types/place';

/** A run of a request by a known group of callers. */
export type GroupedRun = {
	/** Callers that are near the same entries. */
	readonly group: string;
	readonly region: RegionName;
	readonly startedAtMs: number;
};

/** Length and position of the windows. */
export type WindowOptions = {
	readonly fromMs: number;
	readonly toMs: number;
	/** Time between the two shares that are compared. */
	readonly windowMs: number;
};

/** Largest movement found. */
export type MovedShare = {
	readonly moved: number;
	/** Start of the window, relative to `fromMs`. */
	readonly atMs: number;
};

/** Time over which a share is counted. */
const shareMs = 1000;
const stepMs = 250;

/**
 * Share of each region, as the mean over the groups: so chance in which group's callers send
 * most in a moment does not count as a move. A group without a run keeps its earlier shares.
 */
const sharesAt = (runs: readonly GroupedRun[], groups: readonly string[], atMs: number, before: ReadonlyMap<string, number>): Map<string, number> => {
	const inWindow = runs.filter(({startedAtMs}) => startedAtMs >= atMs && startedAtMs < atMs + shareMs);
	const regions = new Set(runs.map(({region}) => region));
	const shares = new Map<string, number>();
	for (const group of groups) {
		const own = inWindow.filter(run => run.group === group);
		for (const region of regions) {
			const share = own.length === 0
				? before.get(`${group} ${region}`) ?? 0
				: own.filter(run => run.region === region).length / own.length;
			shares.set(`${group} ${region}`, share);
			shares.set(region, (shares.get(region) ?? 0) + (share / groups.length));
		}
	}

	return shares;
};

const movedBetween = (before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>, regions: readonly string[]): number => regions
	.reduce((sum, region) => sum + Math.max(0, (after.get(region) ?? 0) - (before.get(region) ?? 0)), 0);

/**
 * Finds the window in which most moved: the shares that regions gained between the window's
 * first and its last second, added up.
 *
 * @param runs - Runs of one service.
 * @param options - Part of the runs and length of a window.
 * @returns The largest movement, as a share of the service's traffic.
 */
export const largestMove = (runs: readonly GroupedRun[], {fromMs, toMs, windowMs}: WindowOptions): MovedShare => {
	const groups = [...new Set(runs.map(({group}) => group))];
	const regions = [...new Set(runs.map(({region}) => region))];
	const series: Array<ReadonlyMap<string, number>> = [];
	for (let atMs = fromMs; atMs + shareMs <= toMs; atMs += stepMs) {
		series.push(sharesAt(runs, groups, atMs, series.at(-1) ?? new Map()));
	}

	let largest: MovedShare = {moved: 0, atMs: 0};
	const stepsApart = Math.round(windowMs / stepMs);
	for (const [index, before] of series.entries()) {
		const after = series[index + stepsApart];
		const moved = after === undefined ? 0 : movedBetween(before, after, regions);
		if (moved > largest.moved) {
			largest = {moved, atMs: index * stepMs};
		}
	}

	return largest;
};
