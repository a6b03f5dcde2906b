/**
 * Removes at-most-once requests that have passed their retention period. A lease limits the
 * removal to one entry at a time.
 */
import {createLogger} from '@filbertwell/logger/logger';
import {runOrderCleanup} from '@filbertwell/orders/orderCleanup';
import {createLease} from '@filbertwell/platform/lease';
import type {Platform} from '@filbertwell/platform/platform';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';

/** Platform, lease settings and dependencies of the removal. */
export type OrderRetentionOptions = {
	readonly platform: Platform;
	/** Id of this process, recorded as the holder of the lease. */
	readonly holder: string;
	/** Whether this process may acquire the lease; only a few may, because each candidate reads the table. */
	readonly isCandidate: () => boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly signal: AbortSignal;
};

const leaseTermMs = 30_000;
const leaseIntervalMs = leaseTermMs / 3;
const passIntervalMs = 3_600_000;
/** Seven days: callers are not expected to query or resend a request after that. */
const retentionMs = 7 * 24 * 3_600_000;
const pagePauseMs = 200;

/**
 * Runs the removal until the signal is aborted.
 *
 * @param options - Platform, lease settings and dependencies.
 */
export const runOrderRetention = async ({platform, holder, isCandidate, clock, random, signal}: OrderRetentionOptions): Promise<void> => {
	const log = createLogger('orders');
	await runOrderCleanup({
		lease: createLease({
			table: platform.table, name: 'order-retention', holder, termMs: leaseTermMs, clock, log,
		}),
		isCandidate,
		leaseIntervalMs,
		passIntervalMs,
		retentionMs,
		pagePauseMs,
		table: platform.table,
		objects: platform.objects,
		clock,
		wallClock: Date.now,
		random,
		log,
		signal,
	});
};
