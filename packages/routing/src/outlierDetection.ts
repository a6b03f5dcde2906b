/**
 * Health of one endpoint by what this entry itself sees; reports play no part, since they lag
 * and mislead. Seen are failures to connect, failed attempts, and the time to the first byte
 * over the median of its route. A cancelled attempt counts by the time it had already taken,
 * or hedges would hide the slowness of the endpoint that they rescue requests from.
 *
 * `healthy` -> `ejected` when it cannot be reached, when over half of its recent attempts
 * failed, or when it is several times slower than the median. An ejected endpoint gets one
 * probe at a time, at intervals that double; good probes bring it back in a slow start. A probe
 * is a copy of an idempotent request that another endpoint runs as well, so that no caller
 * waits for it; only where none came along for long does a caller's only attempt serve as one.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {slowStartShare} from './slowStart.js';

/** What health says of an endpoint. */
export type HealthState = 'healthy' | 'ejected';

/** Why an endpoint was ejected. */
export type EjectionReason = 'unreachable' | 'failing' | 'slow';

/** Health of one endpoint. */
export type EndpointHealth = {
	readonly state: () => HealthState;
	readonly reason: () => EjectionReason | undefined;
	/** Whether an ejected endpoint may get a probe request now. */
	readonly probeIsDue: () => boolean;
	/** Whether a probe has been due for so long that no copy of a request seems to come along. */
	readonly probeIsOverdue: () => boolean;
	readonly recordProbe: () => void;
	/** Moving geometric mean of the time to first byte over the usual time of the route; 1 is usual. */
	readonly slowness: () => number;
	/**
	 * Factor, at least 1, by which its work counts more in a choice: its slowness, forgotten within
	 * half a second without an answer. One that is avoided for a single long answer would
	 * otherwise never show that it is well.
	 */
	readonly avoidance: () => number;
	/** Share of its usual work, from 0 to 1, below 1 in a slow start. */
	readonly share: () => number;
	readonly recordAnswer: (slowness: number) => void;
	/** Records an attempt that was ended after a time without an answer. */
	readonly recordUnanswered: (slowness: number) => void;
	readonly recordFailure: () => void;
	readonly recordUnreachable: () => void;
	/** Records that the endpoint could be reached for its load report. */
	readonly recordReachable: () => void;
};

/** Called when the state changes. */
export type HealthChange = (state: HealthState, reason: EjectionReason | undefined) => void;

const slownessWeight = 0.3;
/** A probe is worth more than a sample among many, since there are few of them. */
const probeFactor = 2;
const smallestSample = 0.1;
const avoidanceMs = 500;
const largestSample = 10;
const ejectionSlowness = 3;
const recoverySlowness = 2;
const failureWeight = 0.2;
const ejectionFailureRate = 0.5;
const recoveryFailureRate = 0.3;
const minimumAttempts = 5;
const firstProbeMs = 1000;
const lastProbeMs = 16_000;
const overdueMs = 10_000;
/** A cancelled attempt would have taken longer than it did. */
const unansweredFactor = 1.5;

/**
 * Creates the health of an endpoint.
 *
 * @param clock - Monotonic milliseconds.
 * @param isNew - Whether it starts with a slow start.
 * @param onChange - Told of each change of state.
 * @returns The health, starting as healthy.
 */
export const createEndpointHealth = (clock: Clock, isNew: boolean, onChange: HealthChange): EndpointHealth => {
	let ejection: EjectionReason | undefined;
	let logSlowness = 0;
	let sampledAtMs = clock();
	let failureRate = 0;
	let attempts = 0;
	let probeMs = firstProbeMs;
	let nextProbeAtMs = 0;
	let rampFromMs = isNew ? clock() : undefined;

	const eject = (reason: EjectionReason) => {
		const isFirst = ejection === undefined;
		ejection = reason;
		probeMs = isFirst ? firstProbeMs : Math.min(lastProbeMs, probeMs * 2);
		nextProbeAtMs = clock() + probeMs;
		if (isFirst) {
			onChange('ejected', reason);
		}
	};

	const recover = () => {
		ejection = undefined;
		rampFromMs = clock();
		attempts = 0;
		failureRate = 0;
		onChange('healthy', undefined);
	};

	const slowness = () => Math.exp(logSlowness);

	const judge = () => {
		if (slowness() > ejectionSlowness) {
			eject('slow');
		} else if (attempts >= minimumAttempts && failureRate > ejectionFailureRate) {
			eject('failing');
		} else if (ejection !== undefined && slowness() < recoverySlowness && failureRate < recoveryFailureRate) {
			recover();
		}
	};

	const observe = (sample: number, failed: number) => {
		const factor = ejection === undefined ? 1 : probeFactor;
		const bounded = Math.min(largestSample, Math.max(smallestSample, sample));
		attempts += 1;
		// The mean of the logarithms: one answer that takes ten times as long, as some always do,
		// weighs no more than one that takes a tenth.
		sampledAtMs = clock();
		logSlowness += factor * slownessWeight * (Math.log(bounded) - logSlowness);
		failureRate += factor * failureWeight * (failed - failureRate);
		judge();
	};

	return {
		state: () => ejection === undefined ? 'healthy' : 'ejected',
		reason: () => ejection,
		probeIsDue: () => ejection !== undefined && clock() >= nextProbeAtMs,
		probeIsOverdue: () => ejection !== undefined && clock() >= nextProbeAtMs + overdueMs,
		recordProbe() {
			nextProbeAtMs = clock() + probeMs;
		},
		slowness,
		avoidance() {
			const remembered = Math.max(0, 1 - ((clock() - sampledAtMs) / avoidanceMs));
			return 1 + (remembered * Math.max(0, slowness() - 1));
		},
		share: () => slowStartShare(rampFromMs === undefined ? undefined : clock() - rampFromMs),
		recordAnswer(sample) {
			observe(sample, 0);
		},
		recordUnanswered(sample) {
			const likely = sample * unansweredFactor;
			if (likely > slowness()) {
				observe(likely, failureRate);
			}
		},
		recordFailure() {
			observe(slowness(), 1);
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
