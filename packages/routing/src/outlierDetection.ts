/**
 * Health of one endpoint, by passive observation of this entry's own attempts: failed connections,
 * failed attempts, and the ratio of the time to first byte to the median of the route. Load reports
 * are not used, since they lag and can be wrong. A cancelled attempt counts with the time that it
 * had already taken; otherwise hedging would hide the slowness of the endpoint that it compensates
 * for.
 *
 * An endpoint goes from `healthy` to `ejected` when it is unreachable, when over half of its recent
 * attempts failed, or when it is several times slower than the median. An ejected endpoint gets one
 * probe at a time, with exponential backoff; good probes readmit it in a slow start. A probe is a
 * copy of an idempotent request that another endpoint runs as well, so that no caller waits for it.
 * If no such request arrives for a long time, the only attempt of a caller's request serves as the
 * probe.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {slowStartFactor} from './slowStart.js';

/** Health state of an endpoint. */
export type HealthState = 'healthy' | 'ejected';

/** Why an endpoint was ejected. */
export type EjectionReason = 'unreachable' | 'failing' | 'slow';

/** Health of one endpoint. */
export type EndpointHealth = {
	readonly state: () => HealthState;
	/** Why the endpoint is ejected; `undefined` while it is healthy. */
	readonly reason: () => EjectionReason | undefined;
	/** Whether the endpoint is ejected and its next probe is due. */
	readonly isProbeDue: () => boolean;
	/** Whether a probe has been due for so long that a copy of a request is unlikely to serve as one. */
	readonly isProbeOverdue: () => boolean;
	/** Records the start of a probe, which delays the next one. */
	readonly recordProbe: () => void;
	/** Moving geometric mean of the ratio of the time to first byte to the median of the route; 1 is normal. */
	readonly latencyRatio: () => number;
	/**
	 * Factor, at least 1, by which the load of the endpoint counts more in a choice: its latency
	 * ratio, which decays to 1 within half a second without a sample. Without the decay an endpoint
	 * that is avoided after a single slow answer would get no requests that show it is healthy.
	 */
	readonly latencyPenalty: () => number;
	/** Fraction of its usual load that the endpoint takes: 1, or less during a slow start. */
	readonly slowStartFactor: () => number;
	/** Records an answer, given the ratio of its time to first byte to the median of the route. */
	readonly recordAnswer: (latencyRatio: number) => void;
	/** Records an attempt that was cancelled before its answer, given the ratio of its duration to the median of the route. */
	readonly recordUnanswered: (latencyRatio: number) => void;
	/** Records a failed attempt. */
	readonly recordFailure: () => void;
	/** Records a failed connection, which ejects the endpoint at once. */
	readonly recordUnreachable: () => void;
	/** Records that the endpoint answered with its load report, which readmits an endpoint that was ejected as unreachable. */
	readonly recordReachable: () => void;
};

/** Called when the health state changes; the reason is `undefined` for `healthy`. */
export type HealthChangeListener = (state: HealthState, reason: EjectionReason | undefined) => void;

/** Weight of a sample in the moving mean of the latency ratio. */
const latencyWeight = 0.3;
/** Factor on the weight of a probe's sample, since there are few probes. */
const probeWeightFactor = 2;
const minimumSample = 0.1;
/** Time without a sample after which the latency penalty has decayed. */
const latencyPenaltyMs = 500;
const maximumSample = 10;
const ejectionLatencyRatio = 3;
const recoveryLatencyRatio = 2;
/** Weight of an attempt in the moving failure rate. */
const failureWeight = 0.2;
const ejectionFailureRate = 0.5;
const recoveryFailureRate = 0.3;
/** Attempts after which the failure rate can eject an endpoint. */
const minimumAttempts = 5;
const initialProbeIntervalMs = 1000;
const maximumProbeIntervalMs = 16_000;
const probeOverdueMs = 10_000;
/** Factor from the duration of a cancelled attempt to its estimated time to first byte, which would have been longer. */
const unansweredFactor = 1.5;

/**
 * Creates the health of an endpoint.
 *
 * @param clock - Monotonic clock, in milliseconds.
 * @param isNew - Whether the endpoint begins with a slow start.
 * @param onChange - Called on each change of the state.
 * @returns The health, initially healthy.
 */
export const createEndpointHealth = (clock: Clock, isNew: boolean, onChange: HealthChangeListener): EndpointHealth => {
	let ejection: EjectionReason | undefined;
	let logLatencyRatio = 0;
	let sampledAtMs = clock();
	let failureRate = 0;
	let attempts = 0;
	let probeIntervalMs = initialProbeIntervalMs;
	let nextProbeAtMs = 0;
	let slowStartAtMs = isNew ? clock() : undefined;

	const eject = (reason: EjectionReason) => {
		const isFirst = ejection === undefined;
		ejection = reason;
		probeIntervalMs = isFirst ? initialProbeIntervalMs : Math.min(maximumProbeIntervalMs, probeIntervalMs * 2);
		nextProbeAtMs = clock() + probeIntervalMs;
		if (isFirst) {
			onChange('ejected', reason);
		}
	};

	const recover = () => {
		ejection = undefined;
		slowStartAtMs = clock();
		attempts = 0;
		failureRate = 0;
		onChange('healthy', undefined);
	};

	const latencyRatio = () => Math.exp(logLatencyRatio);

	const updateState = () => {
		if (latencyRatio() > ejectionLatencyRatio) {
			eject('slow');
		} else if (attempts >= minimumAttempts && failureRate > ejectionFailureRate) {
			eject('failing');
		} else if (ejection !== undefined && latencyRatio() < recoveryLatencyRatio && failureRate < recoveryFailureRate) {
			recover();
		}
	};

	const recordSample = (sample: number, failed: number) => {
		const factor = ejection === undefined ? 1 : probeWeightFactor;
		const bounded = Math.min(maximumSample, Math.max(minimumSample, sample));
		attempts += 1;
		// Averages logarithms, so that an answer that takes ten times as long, which is common, weighs
		// no more than one that takes a tenth.
		sampledAtMs = clock();
		logLatencyRatio += factor * latencyWeight * (Math.log(bounded) - logLatencyRatio);
		failureRate += factor * failureWeight * (failed - failureRate);
		updateState();
	};

	return {
		state: () => ejection === undefined ? 'healthy' : 'ejected',
		reason: () => ejection,
		isProbeDue: () => ejection !== undefined && clock() >= nextProbeAtMs,
		isProbeOverdue: () => ejection !== undefined && clock() >= nextProbeAtMs + probeOverdueMs,
		recordProbe() {
			nextProbeAtMs = clock() + probeIntervalMs;
		},
		latencyRatio,
		latencyPenalty() {
			const remainingWeight = Math.max(0, 1 - ((clock() - sampledAtMs) / latencyPenaltyMs));
			return 1 + (remainingWeight * Math.max(0, latencyRatio() - 1));
		},
		slowStartFactor: () => slowStartFactor(slowStartAtMs === undefined ? undefined : clock() - slowStartAtMs),
		recordAnswer(sample) {
			recordSample(sample, 0);
		},
		recordUnanswered(sample) {
			const estimate = sample * unansweredFactor;
			if (estimate > latencyRatio()) {
				recordSample(estimate, failureRate);
			}
		},
		recordFailure() {
			recordSample(latencyRatio(), 1);
		},
		recordUnreachable() {
			eject('unreachable');
		},
		recordReachable() {
			if (ejection === 'unreachable') {
				recover();
			}
		},
	};
};
