/**
 * Computes how much of a service's traffic moved between regions, from the runs at the upstreams.
 */
import type {RegionName} from '@filbertwell/types/place';

/** Run of a request from a known group of callers. */
export type GroupedRun = {
	/** Name of a group of callers that are near the same entries. */
	readonly group: string;
	readonly region: RegionName;
	readonly startedAtMs: number;
};

/** Range of time that is searched, and length of the windows in it. */
export type WindowOptions = {
	readonly fromMs: number;
	readonly toMs: number;
	/** Time between the two shares that are compared. */
	readonly windowMs: number;
};

/** Largest movement found, as a share of the traffic from 0 to 1. */
export type MovedShare = {
	readonly moved: number;
	/** Start of the window, relative to `fromMs`. */
	readonly atMs: number;
};

/** Length of the interval over which a region's share is counted. */
const shareWindowMs = 1000;
const stepMs = 250;

/**
 * Computes the share of each region as the mean over the groups, so that random variation in the
 * groups' request rates does not count as a move. A group without a run keeps its earlier shares.
 */
const sharesAt = (runs: readonly GroupedRun[], groups: readonly string[], atMs: number, before: ReadonlyMap<string, number>): Map<string, number> => {
	const inWindow = runs.filter(({startedAtMs}) => startedAtMs >= atMs && startedAtMs < atMs + shareWindowMs);
	const regions = new Set(runs.map(({region}) => region));
	const shares = new Map<string, number>();
	for (const group of groups) {
		const groupRuns = inWindow.filter(run => run.group === group);
		for (const region of regions) {
			const share = groupRuns.length === 0
				? before.get(`${group} ${region}`) ?? 0
				: groupRuns.filter(run => run.region === region).length / groupRuns.length;
			shares.set(`${group} ${region}`, share);
			shares.set(region, (shares.get(region) ?? 0) + (share / groups.length));
		}
	}

	return shares;
};

const movedBetween = (before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>, regions: readonly string[]): number => regions
	.reduce((sum, region) => sum + Math.max(0, (after.get(region) ?? 0) - (before.get(region) ?? 0)), 0);

/**
 * Finds the window with the largest movement, which is the sum of the shares that regions gain
 * between the second at the start and the second at the end of the window.
 *
 * @param runs - Runs of one service.
 * @param options - Range of time and length of a window.
 * @returns The largest movement, as a share of the service's traffic.
 */
export const findLargestMove = (runs: readonly GroupedRun[], {fromMs, toMs, windowMs}: WindowOptions): MovedShare => {
	const groups = [...new Set(runs.map(({group}) => group))];
	const regions = [...new Set(runs.map(({region}) => region))];
	const series: Array<ReadonlyMap<string, number>> = [];
	for (let atMs = fromMs; atMs + shareWindowMs <= toMs; atMs += stepMs) {
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
