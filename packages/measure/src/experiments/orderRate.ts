/**
 * Experiment `order-rate`: measures how many orders a second the table service sustains while each
 * entry stays within its transaction rate. The baseline writes each row in a separate transaction.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createLatencyHistograms} from '@filbertwell/load/latencyHistograms';
import {drawArrivals} from '@filbertwell/load/arrivals';
import {silentLogger} from '@filbertwell/logger/logger';
import {createOrders, type RunningOrders} from '@filbertwell/orders/createOrders';
import type {OrderLimits} from '@filbertwell/orders/orderLimits';
import type {Order} from '@filbertwell/orders/orders';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import {createPlatformStandin, type PlatformStandin} from '@filbertwell/standins/platformStandin';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import type {Experiment, Figures} from '../experiment.js';

type RateResult = {
	readonly ordersPerSecond: number;
	readonly transactionsPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly answeredShare: number;
};

const entries = 8;
const loadMs = 4000;
const outcomeTimeoutMs = 10_000;
const rates = [60, 120, 240, 480, 960, 1920];
const latencyLimitMs = 500;
const minimumAnsweredShare = 0.999;
const callTimeoutMs = 3000;
/** One-way delay between the farthest region and the store in the example deployment Rodalar. */
const storeDelayMs = 55;
const minimumRatio = 4;
const millisecondsPerSecond = 1000;

const createEntry = (standin: PlatformStandin, index: number, limits: Partial<OrderLimits>) => {
	const clock = monotonicClock;
	const random = createRandom(index + 1);
	const platform = createHttpPlatform({
		address: standin.address, timeoutMs: callTimeoutMs, clock, random, log: silentLogger,
	});
	const orders = createOrders({
		table: platform.table, clock, random, log: silentLogger, entryId: `entry-${index}`, incarnation: 1, limits,
	});
	return {orders, platform};
};

const createOrder = (key: string): Order => ({
	service: 'orders',
	tenant: 't',
	key,
	fingerprint: key,
	attempt: 1,
	claimOutage: 'refuse',
	isAbandoned: () => false,
	remainingMs: 5000,
	dispatch: async () => ({kind: 'answered', answer: {status: 200, headers: [], body: 'b2s='.repeat(50)}}),
});

const sendAtRate = async (ordersByEntry: readonly RunningOrders[], ordersPerSecond: number, seed: number) => {
	const latencies = createLatencyHistograms();
	const arrivals = drawArrivals(ordersPerSecond, loadMs, createRandom(seed));
	let answered = 0;
	const startedAtMs = monotonicClock();

	const send = async (index: number): Promise<void> => {
		const outcome = await ordersByEntry[index % ordersByEntry.length]!.submit(createOrder(`${ordersPerSecond}-${seed}-${index}`));
		answered += outcome.kind === 'answered' ? 1 : 0;
		latencies.record('order', monotonicClock() - startedAtMs - arrivals[index]!);
	};

	const sending: Array<Promise<void>> = [];
	for (const [index, atMs] of arrivals.entries()) {
		const waitMs = atMs - (monotonicClock() - startedAtMs);
		if (waitMs > 0) {
			await delay(waitMs); // eslint-disable-line no-await-in-loop -- arrivals follow the clock
		}

		sending.push(send(index));
	}

	await Promise.all(sending);
	const {p50Ms, p99Ms} = latencies.summarize().order!;
	return {p50Ms, p99Ms, answeredShare: answered / arrivals.length};
};

const waitForOutcomes = async (ordersByEntry: readonly RunningOrders[]): Promise<void> => {
	const deadlineAtMs = monotonicClock() + outcomeTimeoutMs;
	while (ordersByEntry.some(orders => orders.statistics().pendingOutcomes > 0) && monotonicClock() < deadlineAtMs) {
		await delay(50); // eslint-disable-line no-await-in-loop -- polls until all outcomes are written
	}
};

const measureRate = async (ordersPerSecond: number, seed: number, limits: Partial<OrderLimits>): Promise<RateResult> => {
	const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	standin.setFaults([{target: 'table', kind: 'delay', delayMs: 2 * storeDelayMs}]);
	const createdEntries = Array.from({length: entries}, (_, index) => createEntry(standin, index, limits));
	const ordersByEntry = createdEntries.map(({orders}) => orders);
	const startedAtMs = monotonicClock();
	const sent = await sendAtRate(ordersByEntry, ordersPerSecond, seed);
	await waitForOutcomes(ordersByEntry);
	const seconds = (monotonicClock() - startedAtMs) / millisecondsPerSecond;
	const transactionsPerSecond = standin.statistics().writes / seconds;
	await Promise.all(ordersByEntry.map(async orders => orders.stop()));
	for (const {platform} of createdEntries) {
		platform.close();
	}

	await standin.close();
	return {ordersPerSecond, transactionsPerSecond, ...sent};
};

/** Raises the rate until the latency or the share of answered orders misses its limit; returns the result of the last rate within both. */
const findHighestRate = async (seed: number, limits: Partial<OrderLimits>): Promise<RateResult> => {
	let highest: RateResult = {
		ordersPerSecond: 0, transactionsPerSecond: 0, p50Ms: 0, p99Ms: 0, answeredShare: 0,
	};
	for (const rate of rates) {
		const result = await measureRate(rate, seed, limits); // eslint-disable-line no-await-in-loop -- one rate after another
		if (result.p99Ms > latencyLimitMs || result.answeredShare < minimumAnsweredShare) {
			break;
		}

		highest = result;
	}

	return highest;
};

const toFigures = (result: RateResult): Figures => Object.fromEntries(Object.entries(result).map(([name, value]) => [name, Number(value.toFixed(3))]));

/** Measures the highest sustained rate of orders. */
export const experiment: Experiment = {
	name: 'order-rate',
	description: 'Orders a second through 8 entries within their rate of transactions, the store 110 ms away and back',
	async run({seed}) {
		const baseline = await findHighestRate(seed, {maximumRows: 1});
		const value = await findHighestRate(seed, {});
		const ratio = value.ordersPerSecond / Math.max(1, baseline.ordersPerSecond);
		return {
			experiment: 'order-rate',
			seed,
			baseline: toFigures(baseline),
			value: toFigures(value),
			ratio,
			bound: `at least ${minimumRatio}x the orders a second of single-row transactions, p99 at most ${latencyLimitMs} ms, under 300 transactions a second`,
			ok: ratio >= minimumRatio && value.transactionsPerSecond < 300,
		};
	},
};
