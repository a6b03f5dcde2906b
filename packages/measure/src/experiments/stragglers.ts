/**
 * Experiment `stragglers`: 1% of requests take 20 times longer than the rest, at any endpoint.
 */
import type {Experiment, Figures} from '../experiment.js';
import {type RoutingPolicy, startBench} from '../requestPath/bench.js';
import {
	summarizeLatencies, runBenchLoad, lostShare, createReadRoute, roundTo, startedBetween,
} from '../requestPath/benchLoad.js';

const endpoints = 13;
const meanMs = 80;
const loadShare = 0.5;
const warmUpMs = 1500;
const durationMs = 7000;
const faults = {stragglerProbability: 0.01, stragglerFactor: 20};
const maximumRatio = 3;
const maximumExtraAttempts = 0.05;

const measure = async (policy: RoutingPolicy, hasStragglers: boolean, seed: number): Promise<Figures> => {
	const bench = await startBench({
		seed, policy, entries: 8, endpoints, serviceTimeMs: {kind: 'logNormal', medianMs: meanMs, sigma: 0.2}, routes: [createReadRoute()],
	});
	if (hasStragglers) {
		await Promise.all(bench.upstreams.map(async upstream => upstream.setFaults(faults)));
	}

	const records = await runBenchLoad(bench, {requestsPerSecond: loadShare * bench.slots * 1000 / meanMs, durationMs, seed});
	const extraAttempts = (bench.runs() / records.length) - 1;
	await bench.stop();
	const {p50Ms, p99Ms, maximumMs} = summarizeLatencies(startedBetween(records, warmUpMs, durationMs));
	return {
		p50Ms, p99Ms, maximumMs, lostShare: roundTo(lostShare(records), 4), extraAttempts: roundTo(extraAttempts, 4),
	};
};

/** Measures the tail latency and the extra attempts of hedging with stragglers. */
export const experiment: Experiment = {
	name: 'stragglers',
	description: '1% of answers take 20 times longer; p99 and the extra attempts that hedges make',
	async run({seed}) {
		const baseline = await measure('leastInFlight', true, seed);
		const withoutStragglers = await measure('borrowed', false, seed);
		const value = await measure('borrowed', true, seed);
		const ratio = roundTo(value.p99Ms! / withoutStragglers.p99Ms!);
		return {
			experiment: 'stragglers',
			seed,
			baseline,
			value: {...value, p99WithoutStragglersMs: withoutStragglers.p99Ms!},
			ratio,
			bound: `p99 with over p99 without <= ${maximumRatio}; extra attempts <= ${maximumExtraAttempts}`,
			ok: ratio <= maximumRatio && value.extraAttempts! <= maximumExtraAttempts,
		};
	},
};
