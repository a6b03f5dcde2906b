/**
 * Metrics on hdr-histograms, with their exposition by prom-client.
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

/** Parameters of the metrics. */
export type MetricsOptions = {
	/** Most latency histograms, and most label sets of one counter. */
	readonly maximumLabelSets: number;
	/** Clock of the windows; the process's own if left out. */
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

/** Label value of all that is over the bound. */
export const otherLabel = 'other';

const namePrefix = 'filbertwell_';
const latencyName = `${namePrefix}request_duration_seconds`;
const latencyHelp = 'Time from the arrival of a request to the end of its answer, in seconds';
const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];
const millisecondsPerSecond = 1000;
const windowMs = 60_000;
/** Histograms that one turn of the event loop reads. */
const seriesPerTurn = 20;

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
 * A prom-client summary whose quantiles come from the hdr-histograms of the last one to two
 * minutes; count and sum are over the whole life of the process.
 */
const registerLatencySummary = (registry: Registry, allSeries: ReadonlyMap<string, LatencySeries>) => {
	const summary = new Summary({
		name: latencyName,
		help: latencyHelp,
		labelNames: ['service', 'class', 'tenant'],
		percentiles: quantiles,
		registers: [registry],
	});
	const readEmpty = summary.get.bind(summary);
	summary.get = async () => {
		const values: ReturnType<typeof latencyValues> = [];
		for (const [index, series] of [...allSeries.values()].entries()) {
			values.push(...latencyValues(series));
			if (index % seriesPerTurn === seriesPerTurn - 1) {
				// Requests go on between two parts of a long exposition.
				await setImmediate(); // eslint-disable-line no-await-in-loop
			}
		}

		return {...await readEmpty(), values};
	};
};

/**
 * Creates the metrics of a process.
 *
 * @param options - Bound of the label sets.
 * @returns The metrics.
 */
export const createMetrics = ({maximumLabelSets, clock = monotonicClock}: MetricsOptions): Metrics => {
	const registry = new Registry();
	const latencySeries = new Map<string, LatencySeries>();
	const counters = new Map<string, CounterSeries>();

	/** Over the bound a new tenant is counted under `other`, and a new service or class wholly so. */
	const boundLabels = (labels: LatencyLabels): LatencyLabels => {
		if (latencySeries.has(latencyKey(labels)) || latencySeries.size < maximumLabelSets) {
			return labels;
		}

		const withoutTenant = {...labels, tenant: otherLabel};
		return latencySeries.has(latencyKey(withoutTenant)) ? withoutTenant : otherLabels;
	};

	const seriesOf = (labels: LatencyLabels): LatencySeries => {
		const bounded = boundLabels(labels);
		const key = latencyKey(bounded);
		let series = latencySeries.get(key);
		if (series === undefined) {
			series = {labels: bounded, histogram: createWindowedHistogram(clock, windowMs)};
			latencySeries.set(key, series);
		}

		return series;
	};

	const counterOf = (name: string, labels: Labels): CounterSeries => {
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
			seriesOf(labels).histogram.record(milliseconds);
		},
		increment(name, labels = {}, amount = 1) {
			const {counter, labelNames, labelSets} = counterOf(name, labels);
			const values = labelNames.map(labelName => labels[labelName] ?? '');
			const key = values.join('\n');
			const isWithinBound = labelSets.has(key) || labelSets.size < maximumLabelSets;
			if (isWithinBound) {
				labelSets.add(key);
			}

			counter.inc(Object.fromEntries(labelNames.map((labelName, index) => [labelName, isWithinBound ? values[index]! : otherLabel])), amount);
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
