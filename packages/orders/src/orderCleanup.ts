/**
 * Removes rows of orders past their retention from time to time, in one process of all, under a lease.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@filbertwell/logger/logger';
import type {Lease} from '@filbertwell/platform/lease';
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import type {Table} from '@filbertwell/platform/table';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {removeExpiredOrders} from './retention.js';

/** Parameters of the clean-up. */
export type OrderCleanupOptions = {
	readonly lease: Lease;
	/** Whether this process may hold the lease now. */
	readonly isCandidate: () => boolean;
	/** Time between two calls to the lease: a third of its term. */
	readonly leaseIntervalMs: number;
	/** Time between two passes. */
	readonly passIntervalMs: number;
	readonly retentionMs: number;
	/** Pause between two pages of rows. */
	readonly pagePauseMs: number;
	readonly table: Table;
	readonly objects: ObjectStore | undefined;
	readonly clock: Clock;
	/** Wall-clock milliseconds. */
	readonly wallClock: () => number;
	readonly random: Random;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

const jitter = 0.2;

/**
 * Runs until the signal is aborted, then gives the lease up.
 *
 * @param options - Lease, intervals and retention.
 */
export const runOrderCleanup = async (options: OrderCleanupOptions): Promise<void> => {
	const {lease, isCandidate, leaseIntervalMs, passIntervalMs, retentionMs, pagePauseMs, table, objects, clock, wallClock, random, log, signal} = options;
	let nextPassAtMs = clock();
	let passing = false;

	const pass = async (): Promise<void> => {
		passing = true;
		await removeExpiredOrders({
			table, objects, log, wallClock, retentionMs, fence: lease.fence, pause: async () => delay(pagePauseMs),
		});
		nextPassAtMs = clock() + passIntervalMs;
		passing = false;
	};

	await runPeriodically({
		intervalMs: leaseIntervalMs,
		jitter,
		random,
		signal,
		async task() {
			if (!isCandidate()) {
				return;
			}

			const state = await lease.attempt();
			if (state === 'held' && !passing && clock() >= nextPassAtMs) {
				// Renewals go on during a pass.
				void pass();
			}
		},
	});
	await lease.release();
};
