/**
 * Implements metrics with HDR histograms for latencies and prom-client for the exposition.
 */
import {setImmediate} from 'node:timers/promises';
import {monotonicClock, type Clock} from '@filbertwell/utils/clock';
import {
	Counter, Gauge, Registry, Summary,
} from 'prom-client';
import type {
	Labels, LatencyLabels, LatencySummary, Metrics,
} from './metrics.js';
import {createWindowedHistogram, type WindowedHistogram} from './windowedHistogram.js';

/** Limits and clock of the metrics. */
export type MetricsOptions = {
	/** Maximum number of latency histograms, and of label sets of each counter. */
	readonly maximumLabelSets: number;
	/** Clock for the histograms' windows; defaults to the process's monotonic clock. */
	readonly clock?: Clock | undefined;
};

type LatencySeries = {
	readonly labels: LatencyLabels;
	readonly histogram: WindowedHistogram;
};

type CounterSeries = {
	readonly counter: Counter;
	readonly labelNames: readonly string[];
	readonly labelSets: Set<string>;
};

/** Label value under which everything over the limit of label sets is counted. */
export const otherLabel = 'other';

const namePrefix = 'filbertwell_';
const latencyName = `${namePrefix}request_duration_seconds`;
const latencyHelp = 'Time from the arrival of a request to the end of its answer, in seconds';
const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];
const millisecondsPerSecond = 1000;
const windowMs = 60_000;
/** Number of histograms that the exposition reads before it yields to the event loop. */
const seriesPerEventLoopTurn = 20;

const otherLabels: LatencyLabels = {service: otherLabel, requestClass: otherLabel, tenant: otherLabel};

const latencyKey = ({service, requestClass, tenant}: LatencyLabels) => `${service}\n${requestClass}\n${tenant}`;

const summarize = ({labels, histogram}: LatencySeries): LatencySummary => {
	const {quantile, maximum} = histogram.recent();
	return {
		...labels,
		count: histogram.count(),
		p50Ms: quantile(0.5),
		p95Ms: quantile(0.95),
		p99Ms: quantile(0.99),
		maximumMs: maximum,
	};
};

const latencyValues = ({labels, histogram}: LatencySeries) => {
	const recent = histogram.recent();
	const names = {service: labels.service, class: labels.requestClass, tenant: labels.tenant};
	return [
		...quantiles.map(quantile => ({
			labels: {...names, quantile},
			value: recent.quantile(quantile) / millisecondsPerSecond,
		})),
		{metricName: `${latencyName}_sum`, labels: names, value: histogram.sum() / millisecondsPerSecond},
		{metricName: `${latencyName}_count`, labels: names, value: histogram.count()},
	];
};

/**
 * Registers a prom-client summary whose values are taken from the HDR histograms: quantiles over the
 * last one to two minutes, count and sum since the start of the process.
 */
const registerLatencySummary = (registry: Registry, allSeries: ReadonlyMap<string, LatencySeries>) => {
	const summary = new Summary({
		name: latencyName,
		help: latencyHelp,
		labelNames: ['service', 'class', 'tenant'],
		percentiles: quantiles,
		registers: [registry],
	});
	const getWithoutValues = summary.get.bind(summary);
	summary.get = async () => {
		const values: ReturnType<typeof latencyValues> = [];
		for (const [index, series] of [...allSeries.values()].entries()) {
			values.push(...latencyValues(series));
			if (index % seriesPerEventLoopTurn === seriesPerEventLoopTurn - 1) {
				// Yields to the event loop so that a long exposition does not delay requests.
				await setImmediate(); // eslint-disable-line no-await-in-loop
			}
		}

		return {...await getWithoutValues(), values};
	};
};

/**
 * Creates the metrics of a process.
 *
 * @param options - Limits and clock.
 * @returns The metrics, without any series.
 */
export const createMetrics = ({maximumLabelSets, clock = monotonicClock}: MetricsOptions): Metrics => {
	const registry = new Registry();
	const latencySeries = new Map<string, LatencySeries>();
	const counters = new Map<string, CounterSeries>();

	/** Replaces labels over the limit: a new tenant becomes `other`, or all labels do if its service and class have no `other` tenant yet. */
	const limitLabels = (labels: LatencyLabels): LatencyLabels => {
		if (latencySeries.has(latencyKey(labels)) || latencySeries.size < maximumLabelSets) {
			return labels;
		}

		const withoutTenant = {...labels, tenant: otherLabel};
		return latencySeries.has(latencyKey(withoutTenant)) ? withoutTenant : otherLabels;
	};

	const getLatencySeries = (labels: LatencyLabels): LatencySeries => {
		const limitedLabels = limitLabels(labels);
		const key = latencyKey(limitedLabels);
		let series = latencySeries.get(key);
		if (series === undefined) {
			series = {labels: limitedLabels, histogram: createWindowedHistogram(clock, windowMs)};
			latencySeries.set(key, series);
		}

		return series;
	};

	const getCounterSeries = (name: string, labels: Labels): CounterSeries => {
		let series = counters.get(name);
		if (series === undefined) {
			const labelNames = Object.keys(labels);
			const fullName = `${namePrefix}${name}`;
			const counter = new Counter({
				name: fullName, help: `Number of ${name.replaceAll('_', ' ')}`, labelNames, registers: [registry],
			});
			series = {counter, labelNames, labelSets: new Set()};
			counters.set(name, series);
		}

		return series;
	};

	registerLatencySummary(registry, latencySeries);
	return {
		recordLatency(labels, milliseconds) {
			getLatencySeries(labels).histogram.record(milliseconds);
		},
		increment(name, labels = {}, amount = 1) {
			const {counter, labelNames, labelSets} = getCounterSeries(name, labels);
			const values = labelNames.map(labelName => labels[labelName] ?? '');
			const key = values.join('\n');
			const isWithinLimit = labelSets.has(key) || labelSets.size < maximumLabelSets;
			if (isWithinLimit) {
				labelSets.add(key);
			}

			counter.inc(Object.fromEntries(labelNames.map((labelName, index) => [labelName, isWithinLimit ? values[index]! : otherLabel])), amount);
		},
		observeGauge(name, help, read) {
			const gauge = new Gauge({
				name: `${namePrefix}${name}`,
				help,
				registers: [registry],
				collect() {
					gauge.set(read());
				},
			});
		},
		latencies: () => [...latencySeries.values()].map(series => summarize(series)),
		exposition: async () => registry.metrics(),
	};
};
