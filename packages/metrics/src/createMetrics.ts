/**
 * Metrics on hdr-histograms, with their exposition by prom-client.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {
	Counter, Gauge, Registry, Summary,
} from 'prom-client';
import type {
	Labels, LatencyLabels, LatencySummary, Metrics,
} from './metrics.js';

/** Parameters of the metrics. */
export type MetricsOptions = {
	/** Most latency histograms, and most label sets of one counter. */
	readonly maximumLabelSets: number;
};

type LatencySeries = {
	readonly labels: LatencyLabels;
	readonly histogram: Histogram;
	sumSeconds: number;
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
const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;
const maximumLatencyMicroseconds = 3_600_000_000;
const significantDigits = 2;

const otherLabels: LatencyLabels = {service: otherLabel, requestClass: otherLabel, tenant: otherLabel};

const latencyKey = ({service, requestClass, tenant}: LatencyLabels) => `${service}\n${requestClass}\n${tenant}`;

const createHistogram = () => build({
	lowestDiscernibleValue: 1,
	highestTrackableValue: maximumLatencyMicroseconds,
	numberOfSignificantValueDigits: significantDigits,
	autoResize: true,
	bitBucketSize: 32,
	useWebAssembly: false,
});

/** Whole microseconds within the histogram's range; a value that is not a time counts as 0. */
const toMicroseconds = (milliseconds: number) => {
	const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
	return microseconds > 0 ? Math.min(microseconds, maximumLatencyMicroseconds) : 0;
};

const summarize = ({labels, histogram}: LatencySeries): LatencySummary => ({
	...labels,
	count: histogram.totalCount,
	p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
	p95Ms: histogram.getValueAtPercentile(95) / microsecondsPerMillisecond,
	p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
	maximumMs: histogram.maxValue / microsecondsPerMillisecond,
});

const latencyValues = ({labels, histogram, sumSeconds}: LatencySeries) => {
	const names = {service: labels.service, class: labels.requestClass, tenant: labels.tenant};
	return [
		...quantiles.map(quantile => ({
			labels: {...names, quantile},
			value: histogram.getValueAtPercentile(quantile * 100) / microsecondsPerSecond,
		})),
		{metricName: `${latencyName}_sum`, labels: names, value: sumSeconds},
		{metricName: `${latencyName}_count`, labels: names, value: histogram.totalCount},
	];
};

/**
 * A prom-client summary whose values come from the hdr-histograms. The histograms are over the
 * whole life of the process; rates come from the count and the sum.
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
	summary.get = async () => ({
		...await readEmpty(),
		values: [...allSeries.values()].flatMap(series => latencyValues(series)),
	});
};

/**
 * Creates the metrics of a process.
 *
 * @param options - Bound of the label sets.
 * @returns The metrics.
 */
export const createMetrics = ({maximumLabelSets}: MetricsOptions): Metrics => {
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
			series = {labels: bounded, histogram: createHistogram(), sumSeconds: 0};
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
			const series = seriesOf(labels);
			const microseconds = toMicroseconds(milliseconds);
			series.histogram.recordValue(microseconds);
			series.sumSeconds += microseconds / microsecondsPerSecond;
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
