/**
 * Removes rows of orders past their retention periodically. A lease ensures that one process does so at a time.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Lease} from '@filbertwell/platform/lease';
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import type {Table} from '@filbertwell/platform/table';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {removeExpiredOrders} from './retention.js';

export type OrderCleanupOptions = {
	readonly lease: Lease;
	/** Whether this process may currently hold the lease. */
	readonly isCandidate: () => boolean;
	/** Time between two attempts to acquire or renew the lease: a third of its term. */
	readonly leaseIntervalMs: number;
	/** Time from the end of a pass to the start of the next. */
	readonly passIntervalMs: number;
	readonly retentionMs: number;
	/** Pause between two pages of rows, which leaves the table to requests. */
	readonly pagePauseMs: number;
	readonly table: Table;
	readonly objects: ObjectStore | undefined;
	readonly clock: Clock;
	/** Wall clock in milliseconds. */
	readonly wallClock: () => number;
	readonly random: Random;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

const jitter = 0.2;

/**
 * Runs until the signal is aborted, then releases the lease.
 *
 * @param options - Lease, intervals and retention.
 */
export const runOrderCleanup = async (options: OrderCleanupOptions): Promise<void> => {
	const {lease, isCandidate, leaseIntervalMs, passIntervalMs, retentionMs, pagePauseMs, table, objects, clock, wallClock, random, log, signal} = options;
	let nextPassAtMs = clock();
	let isPassRunning = false;

	const pass = async (): Promise<void> => {
		isPassRunning = true;
		const result = await removeExpiredOrders({
			table, objects, log, wallClock, retentionMs, fence: lease.fence, pause: async () => delay(pagePauseMs),
		});
		if (result.isErr()) {
			log(ordersEvents.cleanupFailed, {reason: result.error.detail});
		}

		nextPassAtMs = clock() + passIntervalMs;
		isPassRunning = false;
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

			const state = await lease.acquireOrRenew();
			if (state === 'held' && !isPassRunning && clock() >= nextPassAtMs) {
				// Not awaited, so that the lease is renewed during a pass.
				void pass();
			}
		},
	});
	await lease.release();
};
