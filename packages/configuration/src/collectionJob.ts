/**
 * Runs the garbage collection of old versions periodically; a lease ensures that one process runs it at a time.
 */
import type {Logger} from '@filbertwell/logger/logger';
import {createLease} from '@filbertwell/platform/lease';
import type {Platform} from '@filbertwell/platform/platform';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {collectGarbage} from './collectGarbage.js';

export type CollectionJobOptions = {
	readonly platform: Platform;
	/** Identity of this process, written into the lease. */
	readonly holder: string;
	/** Whether this process may hold the lease. Few processes may, because each candidate reads the table. */
	readonly isCandidate: () => boolean;
	readonly versionInForce: () => number;
	/** Number of versions to retain. */
	readonly keptVersions: number;
	/** Time between two collections, in milliseconds. */
	readonly intervalMs: number;
	/** Term of the lease, in milliseconds. */
	readonly termMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

/** Handle of a running collection job. */
export type CollectionJob = {
	/** Waits for a collection in progress, ends the job and releases the lease. */
	readonly stop: () => Promise<void>;
};

const renewalsPerTerm = 3;
const jitter = 0.2;

/**
 * Starts the periodic collection.
 *
 * @param options - Platform, lease and intervals.
 * @returns A handle that stops the job.
 */
export const startCollectionJob = (options: CollectionJobOptions): CollectionJob => {
	const {platform, holder, isCandidate, versionInForce, keptVersions, intervalMs, termMs, clock, random, log} = options;
	const stopping = new AbortController();
	const {signal} = stopping;
	const lease = createLease({
		table: platform.table, name: 'collection', holder, termMs, clock, log,
	});

	// The lease is renewed concurrently, because a collection may take longer than the lease's term.
	const renewing = runPeriodically({
		intervalMs: termMs / renewalsPerTerm,
		jitter,
		random,
		signal,
		async task() {
			await (isCandidate() ? lease.acquireOrRenew() : lease.release());
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
			await Promise.all([renewing, collecting]);
			await lease.release();
		},
	};
};
