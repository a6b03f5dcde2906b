/**
 * One endpoint reports that it is idle and is many times slower than the others.
 */
import type {Experiment, Figures} from '../experiment.js';
import {type RoutingPolicy, startBench} from '../requestPath/bench.js';
import {
	summarizeLatencies, runBenchLoad, lostShare, createReadRoute, roundTo, startedBetween,
} from '../requestPath/benchLoad.js';

const endpoints = 13;
const meanMs = 80;
const load = 0.6;
const warmUpMs = 2000;
const durationMs = 8000;
const largestRatio = 2;

const measure = async (policy: RoutingPolicy, misleads: boolean, seed: number): Promise<Figures> => {
	const bench = await startBench({
		seed, policy, entries: 8, endpoints, serviceTimeMs: {kind: 'logNormal', medianMs: meanMs, sigma: 0.2}, routes: [createReadRoute()],
	});
	if (misleads) {
		await bench.upstreams[0]!.setFaults({report: 'idle', slowFactor: 10});
	}

	const records = await runBenchLoad(bench, {requestsPerSecond: load * bench.slots * 1000 / meanMs, durationMs, seed});
	await bench.stop();
	const {p50Ms, p99Ms} = summarizeLatencies(startedBetween(records, warmUpMs, durationMs));
	return {p50Ms, p99Ms, lostShare: roundTo(lostShare(records), 4)};
};

/** Tail latency beside an endpoint whose report misleads. */
export const experiment: Experiment = {
	name: 'misleading-report',
	description: 'One endpoint reports idle and is 10 times slower; p99 of reads',
	async run({seed}) {
		const baseline = await measure('shared', true, seed);
		const honest = await measure('borrowed', false, seed);
		const value = await measure('borrowed', true, seed);
		const ratio = roundTo(value.p99Ms! / honest.p99Ms!);
		return {
			experiment: 'misleading-report',
			seed,
			baseline,
			value: {...value, p99HonestMs: honest.p99Ms!},
			ratio,
			bound: `p99 with over p99 without <= ${largestRatio}`,
			ok: ratio <= largestRatio,
		};
	},
};
