import {createManualClock, type ManualClock} from '@filbertwell/utils/clock';
import {beforeEach, expect, test} from 'vitest';
import {createCircuit, type Circuit, type CircuitState} from '../circuit.js';

const initialOpenMs = 100;
const maximumOpenMs = 400;

let clock: ManualClock;
let circuit: Circuit;
let states: CircuitState[];
beforeEach(() => {
	clock = createManualClock();
	states = [];
	circuit = createCircuit({
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
		circuit.failed();
	}
};

test('it opens after failures in a row, and a success starts the count anew', () => {
	failTimes(2);
	circuit.succeeded();
	failTimes(2);
	expect(circuit.tryPass()).toBe(true);
	failTimes(1);
	expect(circuit.tryPass()).toBe(false);
	expect(states).toEqual(['open']);
});

test('one probe at a time passes, and its success closes the circuit', () => {
	failTimes(3);
	clock.advance(initialOpenMs);
	expect([circuit.tryPass(), circuit.tryPass()]).toEqual([true, false]);
	circuit.succeeded();
	expect(circuit.tryPass()).toBe(true);
	expect(states).toEqual(['open', 'halfOpen', 'closed']);
});

test('each failed probe doubles the time to the next, up to a limit', () => {
	failTimes(3);
	const waits = [initialOpenMs, 200, 400, maximumOpenMs, maximumOpenMs];
	for (const waitMs of waits) {
		clock.advance(waitMs - 1);
		expect(circuit.tryPass()).toBe(false);
		clock.advance(1);
		expect(circuit.tryPass()).toBe(true);
		circuit.failed();
	}
});

test('failures of calls that started earlier do not put the probe off', () => {
	failTimes(3);
	clock.advance(initialOpenMs / 2);
	failTimes(10);
	clock.advance(initialOpenMs / 2);
	expect(circuit.tryPass()).toBe(true);
});
