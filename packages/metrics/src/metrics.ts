/**
 * Metrics of a process: latency histograms per service, class and tenant, counters and gauges.
 */

/** Labels of a latency histogram. */
export type LatencyLabels = {
	readonly service: string;
	readonly requestClass: string;
	readonly tenant: string;
};

/** Labels of a counter or gauge. */
export type Labels = Readonly<Record<string, string>>;

/** Summary of one latency histogram: count since the start, the rest over the last one to two minutes. */
export type LatencySummary = LatencyLabels & {
	readonly count: number;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maximumMs: number;
};

/** Metrics of a process. Names are without the prefix `filbertwell_`. */
export type Metrics = {
	readonly recordLatency: (labels: LatencyLabels, milliseconds: number) => void;
	readonly increment: (name: string, labels?: Labels, amount?: number) => void;
	/** Registers a gauge that is read when metrics are asked for. */
	readonly observeGauge: (name: string, help: string, read: () => number) => void;
	readonly latencies: () => readonly LatencySummary[];
	/** Text in the Prometheus exposition format. */
	readonly exposition: () => Promise<string>;
};
