/**
 * Load of one service by groups of callers, one group near each region's entries, so that a
 * run at an upstream can be told apart by the callers it came from.
 */
import type {Deployment} from '@filbertwell/harness/startDeployment';
import {defaultLoadPlan, type RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {GroupedRun} from './movedShare.js';
import type {PlacedRun} from './upstreamRuns.js';

/** Parameters of a load. */
export type GroupedLoadOptions = {
	readonly name: string;
	readonly routes: readonly RouteLoad[];
	/** Rate of all groups together. */
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
};

/** Second byte of the callers' addresses, by the region whose entries are near. */
const groups = [
	{name: 'south', blocks: [0, 3]},
	{name: 'southeast', blocks: [1, 4]},
	{name: 'northeast', blocks: [2, 5]},
] as const;

/**
 * Runs the groups' loads at once.
 *
 * @param deployment - A deployment in the shape of Rodalar.
 * @param options - Rate, length and routes.
 * @returns The result of each group.
 */
export const runGroupedLoad = async (deployment: Deployment, {name, routes, requestsPerSecond, durationMs, seed}: GroupedLoadOptions): Promise<readonly LoadResult[]> =>
	Promise.all(groups.map(async (group, index) => runLoad({
		...defaultLoadPlan,
		entries: deployment.entries().map(entry => entry.placement.callers),
		routes,
		requestsPerSecond: requestsPerSecond / groups.length,
		durationMs,
		callerAddress: caller => `127.${group.blocks[caller % group.blocks.length]!}.${caller}.1`,
		seed: (seed * groups.length) + index,
	}, {idPrefix: `${name}.${group.name}.`})));

/**
 * Picks the runs of one load and tells their groups.
 *
 * @param runs - Runs at the upstreams.
 * @param name - Name of the load.
 * @returns Its runs with their groups.
 */
export const groupedRuns = (runs: readonly PlacedRun[], name: string): readonly GroupedRun[] => runs
	.filter(({requestId}) => requestId.startsWith(`${name}.`))
	.map(({requestId, region, startedAtMs}) => ({group: requestId.split('.')[1]!, region, startedAtMs}));
