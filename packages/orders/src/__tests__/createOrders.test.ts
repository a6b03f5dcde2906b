import {silentLogger} from '@filbertwell/logger/logger';
import type {Fault} from '@filbertwell/platform/faultPlan';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createSuspendAwareClock} from '@filbertwell/utils/suspendAwareClock';
import {expect, test, vi} from 'vitest';
import {createOrders, type OrdersOptions} from '../createOrders.js';
import type {OrderLimits} from '../orderLimits.js';
import {orderRowKey} from '../orderRow.js';
import type {
	DispatchOutcome, KeptAnswer, Order, OrderOutcome,
} from '../orders.js';

const fastLimits: Partial<OrderLimits> = {
	transactionsPerSecond: 10_000, firstPollMs: 1, maximumPollMs: 2, firstOutcomeRetryMs: 1, maximumOutcomeRetryMs: 2, waitLimitMs: 200, stopFlushMs: 200,
};

const answer: KeptAnswer = {status: 200, headers: [['content-type', 'text/plain']], body: 'b2s='};

const createEntry = (platform: MemoryPlatform, changes: Partial<OrdersOptions> = {}) => createOrders({
	table: platform.table,
	objects: platform.objects,
	clock: monotonicClock,
	random: createRandom(1),
	log: silentLogger,
	entryId: 'a',
	incarnation: 1,
	...changes,
	limits: {...fastLimits, ...changes.limits},
});

const answered: DispatchOutcome = {kind: 'answered', answer};

const createUpstream = (outcome: DispatchOutcome = answered) => {
	let runs = 0;
	return {
		runs: () => runs,
		async dispatch() {
			runs += outcome.kind === 'not-run' ? 0 : 1;
			return outcome;
		},
	};
};

const order = (dispatch: Order['dispatch'], changes: Partial<Order> = {}): Order => ({
	service: 'orders', tenant: 't', key: 'k', fingerprint: 'f', attempt: 1, claimOutage: 'refuse', remainingMs: 1000, isAbandoned: () => false, dispatch, ...changes,
});

const tableFault = (kind: Fault['kind'], changes: Partial<Fault> = {}): Fault => ({target: 'table', kind, ...changes});

test('a resend through another entry gets the kept answer', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const [a, b] = [createEntry(platform), createEntry(platform, {entryId: 'b'})];
	expect(await a.submit(order(upstream.dispatch))).toEqual({kind: 'answered', answer});
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toEqual({kind: 'replayed', answer});
	expect(upstream.runs()).toBe(1);
	expect(await b.query('orders', 't', 'k')).toEqual({state: 'done', answer});
	expect(await b.query('orders', 'other', 'k')).toEqual({state: 'absent', answer: undefined});
});

test('concurrent requests with the same key run once', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const entries = [createEntry(platform), createEntry(platform, {entryId: 'b'}), createEntry(platform, {entryId: 'c'})];
	const outcomes = await Promise.all([...entries, ...entries].map(async entry => entry.submit(order(upstream.dispatch, {attempt: undefined}))));
	expect(outcomes.map(({kind}) => kind).toSorted()).toEqual(['answered', 'replayed', 'replayed', 'replayed', 'replayed', 'replayed']);
	expect(upstream.runs()).toBe(1);
});

test('a different body with the same key is rejected', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = createEntry(platform);
	await a.submit(order(upstream.dispatch));
	expect(await a.submit(order(upstream.dispatch, {fingerprint: 'other'}))).toMatchObject({kind: 'key-conflict'});
	expect(upstream.runs()).toBe(1);
});

test('a rejected dispatch releases the key for later attempts only', async () => {
	const platform = createMemoryPlatform();
	const rejectingUpstream = createUpstream({kind: 'not-run', reason: 'full'});
	const upstream = createUpstream();
	const a = createEntry(platform);
	expect(await a.submit(order(rejectingUpstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'not-run'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 1}))).toMatchObject({kind: 'not-run'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 3}))).toMatchObject({kind: 'answered'});
	expect(upstream.runs()).toBe(1);
});

test('a request whose answer was lost stays in doubt, and the reason names the request that returns its state', async () => {
	const platform = createMemoryPlatform();
	const answerLosingUpstream = createUpstream({kind: 'in-doubt', reason: 'connection lost'});
	const upstream = createUpstream();
	const a = createEntry(platform);
	expect(await a.submit(order(answerLosingUpstream.dispatch))).toEqual({kind: 'in-doubt', reason: 'connection lost; ask GET /orders?service=orders&key=k'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(upstream.runs()).toBe(0);
	expect(await a.query('orders', 't', 'k')).toEqual({state: 'claimed', answer: undefined});
});

test('a request that a crashed entry had claimed stays in doubt', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const crashed = createEntry(platform);
	void crashed.submit(order(async () => new Promise(() => {
		// Never settles, as in a crashed process.
	})));
	const b = createEntry(platform, {entryId: 'b', limits: {...fastLimits, waitLimitMs: 20}});
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(upstream.runs()).toBe(0);
});

test('an entry that is delayed past the time limit for its dispatch does not dispatch', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	let nowMs = 0;
	const delayed = createEntry(platform, {
		clock() {
			nowMs += 3000;
			return nowMs;
		},
	});
	expect(await delayed.submit(order(upstream.dispatch, {remainingMs: 60_000}))).toMatchObject({kind: 'not-run'});
	expect(upstream.runs()).toBe(0);
});

test('an entry whose machine was suspended between claim and dispatch does not dispatch, although its steady clock stood still', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	let suspendedMs = 0;
	const steady = () => performance.now();
	const suspended = createEntry(platform, {
		clock: createSuspendAwareClock({steady, wall: () => steady() + suspendedMs, sinceBoot: () => steady() + suspendedMs}),
		table: {
			...platform.table,
			transact: writes => platform.table.transact(writes).map(result => {
				suspendedMs = 9000;
				return result;
			}),
		},
	});
	expect(await suspended.submit(order(upstream.dispatch, {remainingMs: 60_000}))).toMatchObject({kind: 'not-run'});
	expect(upstream.runs()).toBe(0);
});

test.each([
	'not JSON', '{"state":"done"}', '{"state":"claimed","token":5}', 'null', '{"state":"unknown","token":"t","fingerprint":"f","attempt":1,"claimedAt":0}',
])('a request whose row is damaged (%s) stays in doubt and is not run', async value => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const rowKey = orderRowKey('orders', 't', 'k');
	platform.state.transact({checks: [], writes: [{key: rowKey, value}]});
	const a = createEntry(platform);
	expect(await a.submit(order(upstream.dispatch))).toMatchObject({kind: 'in-doubt'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(await a.query('orders', 't', 'k')).toEqual({state: 'claimed', answer: undefined});
	expect(upstream.runs()).toBe(0);
	expect(a.statistics().inProgress).toBe(0);
});

test('a request whose kept answer is damaged is in doubt and is not run again', async () => {
	const platform = createMemoryPlatform();
	const largeAnswer = {...answer, body: 'x'.repeat(100)};
	const upstream = createUpstream({kind: 'answered', answer: largeAnswer});
	const a = createEntry(platform, {limits: {...fastLimits, maximumRowAnswerLength: 10}});
	await a.submit(order(upstream.dispatch));
	await vi.waitFor(() => {
		expect(a.statistics().pendingOutcomes).toBe(0);
	});
	platform.state.putObject(platform.state.listObjects('order-answers/')[0]!, '{"status":');
	expect(await a.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(upstream.runs()).toBe(1);
});

const outages: ReadonlyArray<{
	readonly name: string;
	readonly faults: readonly Fault[];
	readonly order: Partial<Order>;
	readonly kind: OrderOutcome['kind'];
	readonly runs: number;
}> = [
	{
		name: 'down: a first attempt is answered not-run', faults: [tableFault('down')], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'down: a resend is in doubt', faults: [tableFault('down')], order: {attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'down: an attempt without a number may be a resend', faults: [tableFault('down')], order: {attempt: undefined}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'down, first attempts allowed: a first attempt runs', faults: [tableFault('down')], order: {claimOutage: 'firstAttempt'}, kind: 'answered', runs: 1,
	},
	{
		name: 'down, first attempts allowed: a resend is in doubt', faults: [tableFault('down')], order: {claimOutage: 'firstAttempt', attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'first attempts allowed: a resend without a claim is in doubt', faults: [], order: {claimOutage: 'firstAttempt', attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'rejects writes: a first attempt is answered not-run', faults: [tableFault('error', {access: 'write'})], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'loses one reply: the claim is recognized', faults: [tableFault('lostReply', {access: 'write', count: 1})], order: {}, kind: 'answered', runs: 1,
	},
	{
		name: 'loses all replies: a first attempt is answered not-run', faults: [tableFault('lostReply')], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'pauses past the deadline: a first attempt is answered not-run', faults: [tableFault('pause')], order: {remainingMs: 80}, kind: 'not-run', runs: 0,
	},
	{
		name: 'is slow within the deadline: a first attempt runs', faults: [tableFault('delay', {delayMs: 20})], order: {}, kind: 'answered', runs: 1,
	},
];

test.each(outages)('table $name', async ({faults, order: changes, kind, runs}) => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = createEntry(platform);
	platform.setFaults(faults);
	expect(await a.submit(order(upstream.dispatch, changes))).toMatchObject({kind});
	expect(upstream.runs()).toBe(runs);
	platform.setFaults([]);
	await a.stop();
	const resent = await createEntry(platform, {entryId: 'b'}).submit(order(upstream.dispatch, {...changes, attempt: 9, remainingMs: 1000}));
	expect(upstream.runs()).toBeLessThanOrEqual(1);
	if (runs === 1) {
		expect(resent.kind).toBe('replayed');
	}
});

test('outcomes are written once the table is available again', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = createEntry(platform);
	const outcome = await a.submit(order(async () => {
		platform.setFaults([tableFault('down')]);
		return upstream.dispatch();
	}));
	expect(outcome.kind).toBe('answered');
	const b = createEntry(platform, {entryId: 'b'});
	expect(await b.query('orders', 't', 'k')).toEqual({state: 'unavailable', answer: undefined});
	platform.setFaults([]);
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toEqual({kind: 'replayed', answer});
});

test.each([
	{name: 'in the object store', objects: true, kind: 'replayed'},
	{name: 'as status and hash without an object store', objects: false, kind: 'in-doubt'},
])('a large answer is kept $name', async ({objects, kind}) => {
	const platform = createMemoryPlatform();
	const large = {...answer, body: 'A'.repeat(100_000)};
	const upstream = createUpstream({kind: 'answered', answer: large});
	const a = createEntry(platform, objects ? {} : {objects: undefined});
	await a.submit(order(upstream.dispatch));
	expect((await a.submit(order(upstream.dispatch, {attempt: 2}))).kind).toBe(kind); // eslint-disable-line unicorn/no-await-expression-member
	expect(upstream.runs()).toBe(1);
});
