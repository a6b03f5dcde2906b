/**
 * Load on one service by groups of callers, one group near the entries of each region, so that
 * each run at an upstream can be attributed to a group.
 */
import type {Deployment} from '@filbertwell/harness/startDeployment';
import {defaultLoadPlan, type RouteLoad} from '@filbertwell/load/loadPlan';
import {runLoad, type LoadResult} from '@filbertwell/load/runLoad';
import type {GroupedRun} from './movedShare.js';
import type {LocatedRun} from './upstreamRuns.js';

/** Parameters of a grouped load. */
export type GroupedLoadOptions = {
	readonly name: string;
	readonly routes: readonly RouteLoad[];
	/** Total rate of all groups. */
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
};

/** Second byte of the callers' addresses for each region whose entries are near. */
const callerGroups = [
	{name: 'south', blocks: [0, 3]},
	{name: 'southeast', blocks: [1, 4]},
	{name: 'northeast', blocks: [2, 5]},
] as const;

/**
 * Runs the loads of all groups concurrently.
 *
 * @param deployment - A deployment in the shape of Rodalar.
 * @param options - Name, routes, rate and duration.
 * @returns The result of each group.
 */
export const runGroupedLoad = async (deployment: Deployment, {name, routes, requestsPerSecond, durationMs, seed}: GroupedLoadOptions): Promise<readonly LoadResult[]> =>
	Promise.all(callerGroups.map(async (group, index) => runLoad({
		...defaultLoadPlan,
		entries: deployment.entries().map(entry => entry.placement.callers),
		routes,
		requestsPerSecond: requestsPerSecond / callerGroups.length,
		durationMs,
		callerAddress: caller => `127.${group.blocks[caller % group.blocks.length]!}.${caller}.1`,
		seed: (seed * callerGroups.length) + index,
	}, {idPrefix: `${name}.${group.name}.`})));

/**
 * Selects the runs of one load and assigns each to its group by the prefix of its request id.
 *
 * @param runs - Runs at the upstreams.
 * @param name - Name of the load.
 * @returns The load's runs with their groups.
 */
export const groupedRuns = (runs: readonly LocatedRun[], name: string): readonly GroupedRun[] => runs
	.filter(({requestId}) => requestId.startsWith(`${name}.`))
	.map(({requestId, region, startedAtMs}) => ({group: requestId.split('.')[1]!, region, startedAtMs}));
