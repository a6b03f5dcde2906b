/**
 * Asks quiet endpoints for their load report. Reports ride on answers; an endpoint without
 * traffic says nothing, so that it could leave or come back unseen. Each round asks those whose
 * latest report is older than the interval, a bounded number at a time.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import type {Router} from './createRouter.js';

/** Parameters of the poller. */
export type PollerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly router: Pick<Router, 'quietEndpoints' | 'observeReport'>;
	/** Asks one endpoint; `undefined` where it gave no report. Never rejects. */
	readonly fetchReport: (endpoint: Endpoint) => Promise<LoadReport | undefined>;
	readonly signal: AbortSignal;
};

/** Interval of the rounds; two of them and a time limit fit into three seconds. */
export const pollIntervalMs = 1000;

const intervalJitter = 0.1;
const endpointsAtOnce = 8;

/**
 * Polls until the signal is aborted.
 *
 * @param options - The router and how to ask.
 */
export const pollReports = async ({clock, random, router, fetchReport, signal}: PollerOptions): Promise<void> => {
	const ask = async (endpoint: Endpoint) => {
		const report = await fetchReport(endpoint);
		if (report !== undefined) {
			router.observeReport(endpoint.id, report, clock());
		}
	};

	const askInTurn = async (waiting: Endpoint[]) => {
		for (let endpoint = waiting.shift(); endpoint !== undefined && !signal.aborted; endpoint = waiting.shift()) {
			await ask(endpoint); // eslint-disable-line no-await-in-loop
		}
	};

	const round = async () => {
		const waiting = [...router.quietEndpoints(pollIntervalMs / 2)];
		await Promise.all(Array.from({length: endpointsAtOnce}, async () => askInTurn(waiting)));
	};

	await runPeriodically({
		intervalMs: pollIntervalMs, jitter: intervalJitter, random, signal, task: round,
	});
};
