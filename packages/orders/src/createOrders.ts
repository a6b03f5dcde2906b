/**
 * At-most-once requests, coordinated through rows of the platform's table.
 */
import {randomUUID} from 'node:crypto';
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {ObjectStore} from '@filbertwell/platform/objectStore';
import type {Table} from '@filbertwell/platform/table';
import type {Clock} from '@filbertwell/utils/clock';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {createKeptAnswers} from './keptAnswers.js';
import {createOrderFlow} from './orderFlow.js';
import {defaultOrderLimits, type OrderLimits} from './orderLimits.js';
import {orderRowKey} from './orderRow.js';
import type {Order, OrderOutcome, Orders} from './orders.js';
import {createOrderTable} from './orderTable.js';
import {createOutcomeWriter} from './outcomeWriter.js';
import {createRowWriter} from './rowWriter.js';

export type OrdersOptions = {
	readonly table: Table;
	/** Stores large answers; without it only their status and hash are kept. */
	readonly objects?: ObjectStore;
	readonly clock: Clock;
	/** Wall clock in milliseconds, used only for retention; the system's clock by default. */
	readonly wallClock?: () => number;
	readonly random: Random;
	readonly log: Logger;
	readonly entryId: string;
	readonly incarnation: number;
	/** Overrides of the default limits. */
	readonly limits?: Partial<OrderLimits>;
};

/** Counts for metrics. */
export type OrdersStatistics = {
	readonly transactions: number;
	readonly queuedWrites: number;
	readonly pendingOutcomes: number;
	readonly inProgress: number;
};

/** Orders with their counts. */
export type RunningOrders = Orders & {
	readonly statistics: () => OrdersStatistics;
};

const withTimeout = async <Value>(promise: Promise<Value>, milliseconds: number): Promise<Value | undefined> => {
	const timer = new AbortController();
	const expire = async (): Promise<undefined> => {
		await waitUnlessAborted(milliseconds, timer.signal);
		return undefined;
	};

	try {
		return await Promise.race([promise, expire()]);
	} finally {
		timer.abort();
	}
};

/**
 * Creates the service of an entry that runs requests at most once.
 *
 * @param options - Table, clock, identity and limits.
 * @returns The service; stop it to write the pending outcomes.
 */
export const createOrders = ({table, objects, clock, wallClock = Date.now, random, log, entryId, incarnation, limits: limitOverrides}: OrdersOptions): RunningOrders => {
	const limits = {...defaultOrderLimits, ...limitOverrides};
	const stopping = new AbortController();
	const writer = createRowWriter(table, limits, clock);
	const orderTable = createOrderTable(table, writer);
	const keptAnswers = createKeptAnswers(objects, limits);
	const outcomes = createOutcomeWriter({
		table: orderTable, limits, random, log, wait: async milliseconds => waitUnlessAborted(milliseconds, stopping.signal),
	});
	/** Attempts in progress in this process by row, so that a resend to the same entry does not have to poll. */
	const inProgress = new Map<string, Promise<unknown>>();

	const runAttempt = createOrderFlow({
		table: orderTable,
		outcomes,
		keptAnswers,
		limits,
		clock,
		wallClock,
		log,
		createToken: () => `${entryId}/${incarnation}/${randomUUID()}`,
		withTimeout,
		async waitForChange(rowKey, milliseconds) {
			await Promise.race([waitUnlessAborted(milliseconds, stopping.signal), inProgress.get(rowKey)].filter(promise => promise !== undefined));
		},
	});

	const submit = async (order: Order): Promise<OrderOutcome> => {
		const rowKey = orderRowKey(order.service, order.tenant, order.key);
		const running = runAttempt(order);
		if (!inProgress.has(rowKey)) {
			inProgress.set(rowKey, running);
		}

		const outcome = await running;
		if (inProgress.get(rowKey) === running) {
			inProgress.delete(rowKey);
		}

		return outcome;
	};

	return {
		submit,
		async query(service, tenant, key) {
			const read = await orderTable.read(orderRowKey(service, tenant, key));
			if (read.isErr()) {
				return {state: 'unavailable', answer: undefined};
			}

			const row = read.value?.row;
			if (row === undefined) {
				return {state: 'absent', answer: undefined};
			}

			if (row.state === 'damaged') {
				log(ordersEvents.rowDamaged, {service, key});
				return {state: 'claimed', answer: undefined};
			}

			return {state: row.state, answer: row.state === 'done' ? await keptAnswers.restore(row.kept) : undefined};
		},
		statistics: () => ({
			transactions: writer.transactions(),
			queuedWrites: writer.queued(),
			pendingOutcomes: outcomes.pending(),
			inProgress: inProgress.size,
		}),
		async stop() {
			await Promise.race([outcomes.idle(), waitUnlessAborted(limits.stopFlushMs, stopping.signal)]);
			stopping.abort();
		},
	};
};
