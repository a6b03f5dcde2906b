/**
 * Polls endpoints for their load reports. Reports normally come with answers, so an endpoint without
 * traffic could start leaving or recover unnoticed. Each round polls the endpoints whose latest
 * report is older than half the interval, a bounded number at a time.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import type {Router} from './createRouter.js';

/** Dependencies of the report poller. */
export type PollerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly router: Pick<Router, 'quietEndpoints' | 'observeReport'>;
	/** Requests the load report of an endpoint; resolves to `undefined` when there is none. Never rejects. */
	readonly fetchReport: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	/** Stops the polling when it is aborted. */
	readonly signal: AbortSignal;
};

/** Interval of the rounds in milliseconds; two rounds and a request timeout fit into three seconds. */
export const pollIntervalMs = 1000;

/** Fraction by which the interval varies at random. */
const intervalJitter = 0.1;
const maximumConcurrentPolls = 8;

/**
 * Polls endpoints until the signal is aborted.
 *
 * @param options - The router and how to fetch a report.
 * @returns Resolves when the polling has ended.
 */
export const pollReports = async ({clock, random, router, fetchReport, signal}: PollerOptions): Promise<void> => {
	const poll = async (endpoint: Endpoint) => {
		const report = await fetchReport(endpoint);
		if (report !== undefined) {
			router.observeReport(endpoint.id, report, clock());
		}
	};

	const pollSequentially = async (remaining: Endpoint[]) => {
		for (let endpoint = remaining.shift(); endpoint !== undefined && !signal.aborted; endpoint = remaining.shift()) {
			await poll(endpoint); // eslint-disable-line no-await-in-loop
		}
	};

	const pollAll = async () => {
		const remaining = [...router.quietEndpoints(pollIntervalMs / 2)];
		await Promise.all(Array.from({length: maximumConcurrentPolls}, async () => pollSequentially(remaining)));
	};

	await runPeriodically({
		intervalMs: pollIntervalMs, jitter: intervalJitter, random, signal, task: pollAll,
	});
};
