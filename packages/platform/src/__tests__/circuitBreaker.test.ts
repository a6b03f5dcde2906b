import {createManualClock, type ManualClock} from '@filbertwell/utils/clock';
import {beforeEach, expect, test} from 'vitest';
import {createCircuitBreaker, type CircuitBreaker, type CircuitState} from '../circuitBreaker.js';

const initialOpenMs = 100;
const maximumOpenMs = 400;

let clock: ManualClock;
let circuit: CircuitBreaker;
let states: CircuitState[];
beforeEach(() => {
	clock = createManualClock();
	states = [];
	circuit = createCircuitBreaker({
		clock: clock.now,
		// No jitter.
		random: () => 0.5,
		failureThreshold: 3,
		initialOpenMs,
		maximumOpenMs,
		onChange(state) {
			states.push(state);
		},
	});
});

const failTimes = (count: number) => {
	for (let failures = 0; failures < count; failures += 1) {
		circuit.recordFailure();
	}
};

test('the circuit opens after consecutive failures, and a success resets the count', () => {
	failTimes(2);
	circuit.recordSuccess();
	failTimes(2);
	expect(circuit.tryStartCall()).toBe(true);
	failTimes(1);
	expect(circuit.tryStartCall()).toBe(false);
	expect(states).toEqual(['open']);
});

test('one probe at a time is allowed, and its success closes the circuit', () => {
	failTimes(3);
	clock.advance(initialOpenMs);
	expect([circuit.tryStartCall(), circuit.tryStartCall()]).toEqual([true, false]);
	circuit.recordSuccess();
	expect(circuit.tryStartCall()).toBe(true);
	expect(states).toEqual(['open', 'halfOpen', 'closed']);
});

test('each failed probe doubles the time to the next one, up to the maximum', () => {
	failTimes(3);
	const waits = [initialOpenMs, 200, 400, maximumOpenMs, maximumOpenMs];
	for (const waitMs of waits) {
		clock.advance(waitMs - 1);
		expect(circuit.tryStartCall()).toBe(false);
		clock.advance(1);
		expect(circuit.tryStartCall()).toBe(true);
		circuit.recordFailure();
	}
});

test('failures of calls that started before the circuit opened do not postpone the probe', () => {
	failTimes(3);
	clock.advance(initialOpenMs / 2);
	failTimes(10);
	clock.advance(initialOpenMs / 2);
	expect(circuit.tryStartCall()).toBe(true);
});
