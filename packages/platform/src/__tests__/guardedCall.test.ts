import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {createCircuitBreaker} from '../circuitBreaker.js';
import {createConcurrencyLimit} from '../concurrencyLimit.js';
import {createCallGuard, type CallKind, type FinishedCall} from '../guardedCall.js';
import type {ExchangeOutcome} from '../httpExchange.js';

const answered = (status: number): ExchangeOutcome => ({kind: 'answered', status, body: ''});
const lost: ExchangeOutcome = {kind: 'lost', detail: 'reset'};
const notSent: ExchangeOutcome = {kind: 'notSent', detail: 'refused'};
const ok = answered(200);

const timeoutMs = 1000;

const createGuard = () => {
	const clock = createManualClock();
	const finished: FinishedCall[] = [];
	const limit = createConcurrencyLimit(1, 0);
	const circuitBreaker = createCircuitBreaker({
		clock: clock.now, random: () => 0.5, failureThreshold: 5, initialOpenMs: 100, maximumOpenMs: 1000,
	});
	const guard = createCallGuard({
		clock: clock.now,
		random: () => 0.5,
		timeoutMs,
		circuitBreaker,
		limit,
		async wait(milliseconds) {
			clock.advance(milliseconds);
		},
		onFinished(call) {
			finished.push(call);
		},
	});
	const run = async (kind: CallKind, outcomes: readonly ExchangeOutcome[], attemptMs = 1) => {
		let attempts = 0;
		const result = await guard({
			operation: 'test',
			kind,
			async send() {
				clock.advance(attemptMs);
				const outcome = outcomes[attempts] ?? outcomes.at(-1)!;
				attempts += 1;
				return outcome;
			},
		});
		return {result: result.match(answer => answer.status, error => error.kind), attempts};
	};

	return {
		guard, run, finished, limit, clock, circuitBreaker,
	};
};

type OutcomeCase = {
	readonly kind: CallKind;
	readonly outcomes: readonly ExchangeOutcome[];
	readonly result: number | string;
	readonly attempts: number;
};

const outcomeCases: readonly OutcomeCase[] = [
	{
		kind: 'read', outcomes: [ok], result: 200, attempts: 1,
	},
	{
		kind: 'read', outcomes: [answered(404)], result: 404, attempts: 1,
	},
	{
		kind: 'read', outcomes: [lost, ok], result: 200, attempts: 2,
	},
	{
		kind: 'read', outcomes: [lost], result: 'unavailable', attempts: 3,
	},
	{
		kind: 'read', outcomes: [answered(500)], result: 'unavailable', attempts: 3,
	},
	{
		kind: 'read', outcomes: [answered(400)], result: 'invalid', attempts: 1,
	},
	{
		kind: 'idempotentWrite', outcomes: [lost, ok], result: 200, attempts: 2,
	},
	{
		kind: 'idempotentWrite', outcomes: [lost], result: 'unknown', attempts: 3,
	},
	{
		kind: 'idempotentWrite', outcomes: [lost, notSent, notSent], result: 'unknown', attempts: 3,
	},
	{
		kind: 'conditionalWrite', outcomes: [lost, ok], result: 'unknown', attempts: 1,
	},
	{
		kind: 'conditionalWrite', outcomes: [answered(500), ok], result: 'unknown', attempts: 1,
	},
	{
		kind: 'conditionalWrite', outcomes: [answered(503), ok], result: 200, attempts: 2,
	},
	{
		kind: 'conditionalWrite', outcomes: [notSent, ok], result: 200, attempts: 2,
	},
	{
		kind: 'conditionalWrite', outcomes: [notSent], result: 'unavailable', attempts: 3,
	},
	{
		kind: 'conditionalWrite', outcomes: [notSent, lost], result: 'unknown', attempts: 2,
	},
];

test.each(outcomeCases)('$kind with $outcomes results in $result', async ({kind, outcomes, result, attempts}) => {
	const {run, finished, limit} = createGuard();
	expect(await run(kind, outcomes)).toEqual({result, attempts});
	expect(finished).toMatchObject([{attempts, outcome: typeof result === 'number' ? 'answered' : result}]);
	expect(limit.active()).toBe(0);
});

test('no retry starts after the timeout', async () => {
	const {run, clock} = createGuard();
	expect(await run('read', [lost], 600)).toEqual({result: 'unavailable', attempts: 2});
	expect(clock.now()).toBeLessThanOrEqual(2 * timeoutMs);
});

test('during an outage calls fail without an attempt, except for single probes', async () => {
	const {run, clock, circuitBreaker} = createGuard();
	await run('read', [lost]);
	await run('read', [lost]);
	expect(circuitBreaker.state()).toBe('open');
	expect(await run('read', [ok])).toEqual({result: 'unavailable', attempts: 0});
	clock.advance(200);
	expect(await run('read', [ok])).toEqual({result: 200, attempts: 1});
	expect(circuitBreaker.state()).toBe('closed');
});

test('a response with status 400 does not open the circuit', async () => {
	const {run, circuitBreaker} = createGuard();
	for (let calls = 0; calls < 20; calls += 1) {
		await run('read', [answered(400)]); // eslint-disable-line no-await-in-loop
	}

	expect(circuitBreaker.state()).toBe('closed');
});

test('a call that finds the queue full is unavailable, not unknown', async () => {
	const {guard, run, finished} = createGuard();
	let release: (outcome: ExchangeOutcome) => void = () => undefined;
	const first = guard({
		operation: 'test',
		kind: 'conditionalWrite',
		send: async () => new Promise(resolve => {
			release = resolve;
		}),
	});
	await Promise.resolve();
	expect(await run('conditionalWrite', [ok])).toEqual({result: 'unavailable', attempts: 0});
	release(ok);
	await first;
	expect(finished).toHaveLength(2);
});
