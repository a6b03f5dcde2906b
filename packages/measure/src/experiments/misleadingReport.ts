/**
 * Experiment `misleading-report`: one endpoint is 10 times slower than the others, but reports that it is idle.
 */
import type {Experiment, Figures} from '../experiment.js';
import {type RoutingPolicy, startBench} from '../requestPath/bench.js';
import {
	summarizeLatencies, runBenchLoad, lostShare, createReadRoute, roundTo, startedBetween,
} from '../requestPath/benchLoad.js';

const endpoints = 13;
const meanMs = 80;
const loadShare = 0.6;
const warmUpMs = 2000;
const durationMs = 8000;
const maximumRatio = 2;

const measure = async (policy: RoutingPolicy, hasMisleadingReport: boolean, seed: number): Promise<Figures> => {
	const bench = await startBench({
		seed, policy, entries: 8, endpoints, serviceTimeMs: {kind: 'logNormal', medianMs: meanMs, sigma: 0.2}, routes: [createReadRoute()],
	});
	if (hasMisleadingReport) {
		await bench.upstreams[0]!.setFaults({report: 'idle', slowFactor: 10});
	}

	const records = await runBenchLoad(bench, {requestsPerSecond: loadShare * bench.slots * 1000 / meanMs, durationMs, seed});
	await bench.stop();
	const {p50Ms, p99Ms} = summarizeLatencies(startedBetween(records, warmUpMs, durationMs));
	return {p50Ms, p99Ms, lostShare: roundTo(lostShare(records), 4)};
};

/** Measures the tail latency with an endpoint whose load report is false. */
export const experiment: Experiment = {
	name: 'misleading-report',
	description: 'One endpoint reports idle and is 10 times slower; p99 of reads',
	async run({seed}) {
		const baseline = await measure('shared', true, seed);
		const withHonestReport = await measure('borrowed', false, seed);
		const value = await measure('borrowed', true, seed);
		const ratio = roundTo(value.p99Ms! / withHonestReport.p99Ms!);
		return {
			experiment: 'misleading-report',
			seed,
			baseline,
			value: {...value, p99HonestMs: withHonestReport.p99Ms!},
			ratio,
			bound: `p99 with over p99 without <= ${maximumRatio}`,
			ok: ratio <= maximumRatio,
		};
	},
};
