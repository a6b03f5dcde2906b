/**
 * Circuit breaker: stops calls to a service that fails, and probes it with one call at a time.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';

/** `closed`: calls pass. `open`: calls are refused. `halfOpen`: one probe is on its way. */
export type CircuitState = 'closed' | 'open' | 'halfOpen';

/** Parameters of a circuit breaker. */
export type CircuitOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Failures in a row that open the circuit. */
	readonly failureThreshold: number;
	/** Time from opening to the first probe; doubles with each failed probe. */
	readonly initialOpenMs: number;
	/** Longest time between probes. */
	readonly maximumOpenMs: number;
	/** Called on each change of state. */
	readonly onChange?: ((state: CircuitState) => void) | undefined;
};

/** Circuit breaker of one service. */
export type Circuit = {
	readonly state: () => CircuitState;
	/** Whether a call may start now. Each permitted call reports its outcome. */
	readonly tryPass: () => boolean;
	/** Reports that a call was answered. */
	readonly succeeded: () => void;
	/** Reports that a call was not answered. */
	readonly failed: () => void;
};

/** Fraction by which the time between probes varies, so that processes do not probe at once. */
const openJitter = 0.3;

/**
 * Creates a closed circuit breaker.
 *
 * @param options - Clock, thresholds and times in milliseconds.
 * @returns The circuit breaker.
 */
export const createCircuit = ({clock, random, failureThreshold, initialOpenMs, maximumOpenMs, onChange}: CircuitOptions): Circuit => {
	let state: CircuitState = 'closed';
	let failures = 0;
	let openMs = initialOpenMs;
	let probeAt = 0;

	const become = (next: CircuitState) => {
		if (next !== state) {
			state = next;
			onChange?.(next);
		}
	};

	const open = () => {
		probeAt = clock() + (openMs * (1 + (openJitter * ((2 * random()) - 1))));
		openMs = Math.min(maximumOpenMs, openMs * 2);
		become('open');
	};

	return {
		state: () => state,
		tryPass() {
			if (state === 'closed') {
				return true;
			}

			if (state === 'halfOpen' || clock() < probeAt) {
				return false;
			}

			become('halfOpen');
			return true;
		},
		succeeded() {
			failures = 0;
			openMs = initialOpenMs;
			become('closed');
		},
		failed() {
			failures += 1;
			// Calls that started before the circuit opened do not push the next probe back.
			if (state === 'halfOpen' || (state === 'closed' && failures >= failureThreshold)) {
				open();
			}
		},
	};
};
