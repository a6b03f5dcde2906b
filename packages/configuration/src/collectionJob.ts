/**
 * Runs the removal of old versions from time to time at one process of the system.
 */
import type {Logger} from '@filbertwell/logger/logger';
import {createLease} from '@filbertwell/platform/lease';
import type {Platform} from '@filbertwell/platform/platform';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {collectGarbage} from './collectGarbage.js';

/** Parameters of the job. */
export type CollectionJobOptions = {
	readonly platform: Platform;
	/** Id of this process. */
	readonly holder: string;
	/** Whether this process may hold the lease; few do, since each candidate reads the table. */
	readonly isCandidate: () => boolean;
	readonly versionInForce: () => number;
	/** Versions that stay. */
	readonly keptVersions: number;
	/** Time between collections in milliseconds. */
	readonly intervalMs: number;
	/** Term of the lease in milliseconds. */
	readonly termMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

/** A running job. */
export type CollectionJob = {
	/** Ends the job, after a collection in progress, and gives the lease up. */
	readonly stop: () => Promise<void>;
};

const attemptsInTerm = 3;
const jitter = 0.2;

/**
 * Starts the job.
 *
 * @param options - Platform, lease and intervals.
 * @returns The running job.
 */
export const startCollectionJob = (options: CollectionJobOptions): CollectionJob => {
	const {platform, holder, isCandidate, versionInForce, keptVersions, intervalMs, termMs, clock, random, log} = options;
	const stopping = new AbortController();
	const {signal} = stopping;
	const lease = createLease({
		table: platform.table, name: 'collection', holder, termMs, clock, log,
	});

	// The lease is renewed beside the collection, which may take longer than its term.
	const holding = runPeriodically({
		intervalMs: termMs / attemptsInTerm,
		jitter,
		random,
		signal,
		async task() {
			await (isCandidate() ? lease.attempt() : lease.release());
		},
	});
	const collecting = runPeriodically({
		intervalMs,
		jitter,
		random,
		signal,
		async task() {
			if (lease.fence() !== undefined) {
				await collectGarbage({
					platform, keptVersions, versionInForce: versionInForce(), fence: lease.fence, log,
				});
			}
		},
	});

	return {
		async stop() {
			stopping.abort();
			await Promise.all([holding, collecting]);
			await lease.release();
		},
	};
};
