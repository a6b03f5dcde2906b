/**
 * Interface of a process's metrics: latency histograms per service, request class and tenant, counters and gauges.
 */

/** Labels of a latency histogram. */
export type LatencyLabels = {
	readonly service: string;
	readonly requestClass: string;
	readonly tenant: string;
};

/** Label values of a counter by label name. */
export type Labels = Readonly<Record<string, string>>;

/** Summary of a latency histogram. `count` covers the time since the start, the other fields the last one to two minutes. */
export type LatencySummary = LatencyLabels & {
	readonly count: number;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maximumMs: number;
};

/** Metrics of a process. Names are passed without the prefix `filbertwell_`, which is added on export. */
export type Metrics = {
	/** Records a request's latency. */
	readonly recordLatency: (labels: LatencyLabels, milliseconds: number) => void;
	/** Adds `amount`, by default 1, to a counter. The first call for a name determines its label names. */
	readonly increment: (name: string, labels?: Labels, amount?: number) => void;
	/** Registers a gauge whose value is read by `read` at each exposition. */
	readonly observeGauge: (name: string, help: string, read: () => number) => void;
	/** Summaries of all latency histograms. */
	readonly latencies: () => readonly LatencySummary[];
	/** Formats all metrics in the Prometheus exposition format. */
	readonly exposition: () => Promise<string>;
};
