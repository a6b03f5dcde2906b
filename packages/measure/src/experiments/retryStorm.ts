/**
 * Half of all attempts fail after they have run.
 */
import type {Experiment, Figures} from '../experiment.js';
import {type Policy, startBench} from '../requestPath/bench.js';
import {
	loadBench, lostShare, readRoute, rounded,
} from '../requestPath/readLoad.js';

const endpoints = 13;
const meanMs = 80;
const load = 0.5;
const durationMs = 6000;
const mostAttempts = 1.1;
const baselineAttempts = 3;

const measure = async (policy: Policy, seed: number): Promise<Figures> => {
	const bench = await startBench({
		seed, policy, entries: 8, endpoints, serviceTimeMs: {kind: 'logNormal', medianMs: meanMs, sigma: 0.2}, routes: [readRoute()], baselineAttempts,
	});
	await Promise.all(bench.upstreams.map(async upstream => upstream.setFaults({failAfterProbability: 0.5})));
	const records = await loadBench(bench, {requestsPerSecond: load * bench.slots * 1000 / meanMs, durationMs, seed});
	const attemptsPerRequest = bench.runs() / records.length;
	await bench.stop();
	return {attemptsPerRequest: rounded(attemptsPerRequest, 3), lostShare: rounded(lostShare(records), 3)};
};

/** Attempts while half of them fail. */
export const experiment: Experiment = {
	name: 'retry-storm',
	description: 'Half of all attempts fail; attempts for each request',
	async run({seed}) {
		const baseline = await measure('leastInFlight', seed);
		const value = await measure('borrowed', seed);
		const ratio = value.attemptsPerRequest!;
		return {
			experiment: 'retry-storm', seed, baseline, value, ratio, bound: `attempts for each request <= ${mostAttempts}`, ok: ratio <= mostAttempts,
		};
	},
};
