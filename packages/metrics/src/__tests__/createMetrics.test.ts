import {createManualClock} from '@filbertwell/utils/clock';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createMetrics} from '../createMetrics.js';

const labels = (tenant: string, service = 'orders') => ({service, requestClass: 'critical', tenant});

test('the exposition contains the quantiles of the histogram in seconds', async () => {
	const metrics = createMetrics({maximumLabelSets: 10});
	for (let milliseconds = 1; milliseconds <= 1000; milliseconds++) {
		metrics.recordLatency(labels('shop'), milliseconds);
	}

	const [summary] = metrics.latencies();
	expect(summary?.count).toBe(1000);
	expect(Math.abs(summary!.p99Ms - 990)).toBeLessThan(10);
	const text = await metrics.exposition();
	expect(text).toContain('# TYPE filbertwell_request_duration_seconds summary');
	expect(text).toMatch(/request_duration_seconds_count\{service="orders",class="critical",tenant="shop"\} 1000/v);
	expect(text).toMatch(/tenant="shop",quantile="0\.99"\} 0\.9\d+/v);
});

test('a tenant over the limit of label sets is counted under other', () => {
	const metrics = createMetrics({maximumLabelSets: 2});
	for (const tenant of ['a', 'b', 'c', 'd', 'a']) {
		metrics.recordLatency(labels(tenant), 1);
	}

	expect(metrics.latencies().map(({tenant, count}) => [tenant, count])).toEqual([['a', 2], ['b', 1], ['other', 2]]);
});

test('any sequence of labels stays within the limit and is counted completely', () => {
	const sequence = fc.array(fc.record({tenant: fc.string({maxLength: 3}), service: fc.constantFrom('a', 'b', 'other')}), {maxLength: 200});
	fc.assert(fc.property(sequence, fc.integer({min: 1, max: 8}), (requests, maximumLabelSets) => {
		const metrics = createMetrics({maximumLabelSets});
		for (const {tenant, service} of requests) {
			metrics.recordLatency(labels(tenant, service), 1);
		}

		const summaries = metrics.latencies();
		expect(summaries.length).toBeLessThanOrEqual(maximumLabelSets + 1);
		expect(summaries.reduce((sum, {count}) => sum + count, 0)).toBe(requests.length);
	}), {seed: 41, numRuns: 100});
});

test.each([
	{milliseconds: Number.NaN, maximumMs: 0},
	{milliseconds: -5, maximumMs: 0},
	{milliseconds: Number.POSITIVE_INFINITY, maximumMs: 3_600_000},
	{milliseconds: 1e12, maximumMs: 3_600_000},
])('a latency of $milliseconds ms is clamped to the range of the histogram', ({milliseconds, maximumMs}) => {
	const metrics = createMetrics({maximumLabelSets: 2});
	metrics.recordLatency(labels('a'), milliseconds);
	expect(Math.abs(metrics.latencies()[0]!.maximumMs - maximumMs)).toBeLessThan((maximumMs * 0.01) + 1);
});

test('quantiles cover the last one to two minutes; count and sum cover the time since the start', async () => {
	const clock = createManualClock();
	const metrics = createMetrics({maximumLabelSets: 2, clock: clock.now});
	metrics.recordLatency(labels('a'), 1000);
	clock.advance(59_000);
	metrics.recordLatency(labels('a'), 10);
	expect(metrics.latencies()[0]!.maximumMs).toBeGreaterThan(990);
	clock.advance(61_000);
	metrics.recordLatency(labels('a'), 10);
	expect(metrics.latencies()[0]).toMatchObject({count: 3});
	expect(metrics.latencies()[0]!.maximumMs).toBeLessThan(11);
	clock.advance(600_000);
	const text = await metrics.exposition();
	expect(text).toContain('request_duration_seconds_count{service="orders",class="critical",tenant="a"} 3');
	expect(text).toContain('request_duration_seconds_sum{service="orders",class="critical",tenant="a"} 1.02');
	expect(text).toMatch(/quantile="0\.99"\} nan/iv);
});

test('counters count by label set up to the limit', async () => {
	const metrics = createMetrics({maximumLabelSets: 2});
	for (const reason of ['deadline', 'deadline', 'queue', 'third', 'fourth']) {
		metrics.increment('refusals_total', {reason});
	}

	const text = await metrics.exposition();
	expect(text).toContain('filbertwell_refusals_total{reason="deadline"} 2');
	expect(text).toContain('filbertwell_refusals_total{reason="other"} 2');
});

test('a counter keeps the label names of its first increment', async () => {
	const metrics = createMetrics({maximumLabelSets: 5});
	metrics.increment('retries_total', {service: 'orders'});
	metrics.increment('retries_total', {service: 'orders', more: 'x'});
	metrics.increment('retries_total');
	expect(await metrics.exposition()).toContain('filbertwell_retries_total{service="orders"} 2');
});

test('a gauge is read at each exposition', async () => {
	const metrics = createMetrics({maximumLabelSets: 5});
	let queued = 3;
	metrics.observeGauge('queued', 'Requests that wait', () => queued);
	expect(await metrics.exposition()).toContain('filbertwell_queued 3');
	queued = 4;
	expect(await metrics.exposition()).toContain('filbertwell_queued 4');
});
