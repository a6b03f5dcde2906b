/**
 * Experiment `retry-storm`: half of all attempts fail after they have run.
 */
import type {Experiment, Figures} from '../experiment.js';
import {type RoutingPolicy, startBench} from '../requestPath/bench.js';
import {
	runBenchLoad, lostShare, createReadRoute, roundTo,
} from '../requestPath/benchLoad.js';

const endpoints = 13;
const meanMs = 80;
const loadShare = 0.5;
const durationMs = 6000;
const maximumAttemptsPerRequest = 1.1;
const baselineAttempts = 3;

const measure = async (policy: RoutingPolicy, seed: number): Promise<Figures> => {
	const bench = await startBench({
		seed, policy, entries: 8, endpoints, serviceTimeMs: {kind: 'logNormal', medianMs: meanMs, sigma: 0.2}, routes: [createReadRoute()], baselineAttempts,
	});
	await Promise.all(bench.upstreams.map(async upstream => upstream.setFaults({failAfterProbability: 0.5})));
	const records = await runBenchLoad(bench, {requestsPerSecond: loadShare * bench.slots * 1000 / meanMs, durationMs, seed});
	const attemptsPerRequest = bench.runs() / records.length;
	await bench.stop();
	return {attemptsPerRequest: roundTo(attemptsPerRequest, 3), lostShare: roundTo(lostShare(records), 3)};
};

/** Measures the attempts per request while half of the attempts fail. */
export const experiment: Experiment = {
	name: 'retry-storm',
	description: 'Half of all attempts fail; attempts per request',
	async run({seed}) {
		const baseline = await measure('leastInFlight', seed);
		const value = await measure('borrowed', seed);
		const ratio = value.attemptsPerRequest!;
		return {
			experiment: 'retry-storm', seed, baseline, value, ratio, bound: `attempts for each request <= ${maximumAttemptsPerRequest}`, ok: ratio <= maximumAttemptsPerRequest,
		};
	},
};
