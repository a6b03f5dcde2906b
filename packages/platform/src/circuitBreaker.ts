/**
 * Circuit breaker: rejects calls to a failing service and probes it with one call at a time.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';

/** `closed`: calls are allowed. `open`: calls are rejected. `halfOpen`: a probe is in progress and other calls are rejected. */
export type CircuitState = 'closed' | 'open' | 'halfOpen';

export type CircuitBreakerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Number of consecutive failures that opens the circuit. */
	readonly failureThreshold: number;
	/** Time from opening to the first probe; it doubles with each failed probe. */
	readonly initialOpenMs: number;
	/** Maximum time between probes, before jitter. */
	readonly maximumOpenMs: number;
	/** Called on each state change. */
	readonly onChange?: ((state: CircuitState) => void) | undefined;
};

/** Circuit breaker of one service. */
export type CircuitBreaker = {
	readonly state: () => CircuitState;
	/** Returns whether a call may start; after an open period that call is the probe. The caller must report the outcome of each allowed call. */
	readonly tryStartCall: () => boolean;
	/** Reports an allowed call that was answered. */
	readonly recordSuccess: () => void;
	/** Reports an allowed call that failed. */
	readonly recordFailure: () => void;
};

/** Fraction by which the time between probes varies, so that processes do not probe simultaneously. */
const openJitter = 0.3;

/**
 * Creates a closed circuit breaker.
 *
 * @param options - Clock, thresholds and times in milliseconds.
 * @returns The circuit breaker.
 */
export const createCircuitBreaker = ({clock, random, failureThreshold, initialOpenMs, maximumOpenMs, onChange}: CircuitBreakerOptions): CircuitBreaker => {
	let state: CircuitState = 'closed';
	let failures = 0;
	let openMs = initialOpenMs;
	let probeAt = 0;

	const setState = (next: CircuitState) => {
		if (next !== state) {
			state = next;
			onChange?.(next);
		}
	};

	const open = () => {
		probeAt = clock() + (openMs * (1 + (openJitter * ((2 * random()) - 1))));
		openMs = Math.min(maximumOpenMs, openMs * 2);
		setState('open');
	};

	return {
		state: () => state,
		tryStartCall() {
			if (state === 'closed') {
				return true;
			}

			if (state === 'halfOpen' || clock() < probeAt) {
				return false;
			}

			setState('halfOpen');
			return true;
		},
		recordSuccess() {
			failures = 0;
			openMs = initialOpenMs;
			setState('closed');
		},
		recordFailure() {
			failures += 1;
			// Failures of calls that started before the circuit opened do not postpone the next probe.
			if (state === 'halfOpen' || (state === 'closed' && failures >= failureThreshold)) {
				open();
			}
		},
	};
};
