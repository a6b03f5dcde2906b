import {silentLogger} from '@filbertwell/logger/logger';
import type {Fault} from '@filbertwell/platform/faultPlan';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {expect, test} from 'vitest';
import {createOrders, type OrdersOptions} from '../createOrders.js';
import type {OrderLimits} from '../orderLimits.js';
import type {
	DispatchOutcome, KeptAnswer, Order, OrderOutcome,
} from '../orders.js';

const fastLimits: Partial<OrderLimits> = {
	transactionsPerSecond: 10_000, firstPollMs: 1, maximumPollMs: 2, firstOutcomeRetryMs: 1, maximumOutcomeRetryMs: 2, waitLimitMs: 200, stopFlushMs: 200,
};

const answer: KeptAnswer = {status: 200, headers: [['content-type', 'text/plain']], body: 'b2s='};

const entry = (platform: MemoryPlatform, changes: Partial<OrdersOptions> = {}) => createOrders({
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
	service: 'orders', tenant: 't', key: 'k', fingerprint: 'f', attempt: 1, claimOutage: 'refuse', remainingMs: 1000, dispatch, ...changes,
});

const tableFault = (kind: Fault['kind'], changes: Partial<Fault> = {}): Fault => ({target: 'table', kind, ...changes});

test('a resend through another entry gets the kept answer', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const [a, b] = [entry(platform), entry(platform, {entryId: 'b'})];
	expect(await a.submit(order(upstream.dispatch))).toEqual({kind: 'answered', answer});
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toEqual({kind: 'replayed', answer});
	expect(upstream.runs()).toBe(1);
	expect(await b.ask('orders', 't', 'k')).toEqual({state: 'done', answer});
	expect(await b.ask('orders', 'other', 'k')).toEqual({state: 'absent', answer: undefined});
});

test('equal keys at once run once', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const entries = [entry(platform), entry(platform, {entryId: 'b'}), entry(platform, {entryId: 'c'})];
	const outcomes = await Promise.all([...entries, ...entries].map(async one => one.submit(order(upstream.dispatch, {attempt: undefined}))));
	expect(outcomes.map(({kind}) => kind).toSorted()).toEqual(['answered', 'replayed', 'replayed', 'replayed', 'replayed', 'replayed']);
	expect(upstream.runs()).toBe(1);
});

test('another body under the key is refused', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = entry(platform);
	await a.submit(order(upstream.dispatch));
	expect(await a.submit(order(upstream.dispatch, {fingerprint: 'other'}))).toMatchObject({kind: 'key-conflict'});
	expect(upstream.runs()).toBe(1);
});

test('a refused dispatch frees the key for a later attempt and for no earlier one', async () => {
	const platform = createMemoryPlatform();
	const refusing = createUpstream({kind: 'not-run', reason: 'full'});
	const upstream = createUpstream();
	const a = entry(platform);
	expect(await a.submit(order(refusing.dispatch, {attempt: 2}))).toMatchObject({kind: 'not-run'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 1}))).toMatchObject({kind: 'not-run'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 3}))).toMatchObject({kind: 'answered'});
	expect(upstream.runs()).toBe(1);
});

test('a lost answer stays in doubt, with a place to ask', async () => {
	const platform = createMemoryPlatform();
	const losing = createUpstream({kind: 'in-doubt', reason: 'connection lost'});
	const upstream = createUpstream();
	const a = entry(platform);
	expect(await a.submit(order(losing.dispatch))).toEqual({kind: 'in-doubt', reason: 'connection lost; ask GET /orders?service=orders&key=k'});
	expect(await a.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(upstream.runs()).toBe(0);
	expect(await a.ask('orders', 't', 'k')).toEqual({state: 'claimed', answer: undefined});
});

test('a claimer that died leaves the claim in doubt', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const dead = entry(platform);
	void dead.submit(order(async () => new Promise(() => {
		// Never settles, as of a dead process.
	})));
	const b = entry(platform, {entryId: 'b', limits: {...fastLimits, waitLimitMs: 20}});
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toMatchObject({kind: 'in-doubt'});
	expect(upstream.runs()).toBe(0);
});

test('a claimer that was held up past its bound does not dispatch', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	let nowMs = 0;
	const paused = entry(platform, {
		clock() {
			nowMs += 3000;
			return nowMs;
		},
	});
	expect(await paused.submit(order(upstream.dispatch, {remainingMs: 60_000}))).toMatchObject({kind: 'not-run'});
	expect(upstream.runs()).toBe(0);
});

const outages: ReadonlyArray<{
	readonly name: string;
	readonly faults: readonly Fault[];
	readonly order: Partial<Order>;
	readonly kind: OrderOutcome['kind'];
	readonly runs: number;
}> = [
	{
		name: 'down: a first attempt is refused as not run', faults: [tableFault('down')], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'down: a resend is in doubt', faults: [tableFault('down')], order: {attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'down: an attempt without a number may be a resend', faults: [tableFault('down')], order: {attempt: undefined}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'down, first attempts allowed: it runs', faults: [tableFault('down')], order: {claimOutage: 'firstAttempt'}, kind: 'answered', runs: 1,
	},
	{
		name: 'down, first attempts allowed: a resend is in doubt', faults: [tableFault('down')], order: {claimOutage: 'firstAttempt', attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'first attempts allowed: a resend without a claim is in doubt', faults: [], order: {claimOutage: 'firstAttempt', attempt: 2}, kind: 'in-doubt', runs: 0,
	},
	{
		name: 'refusing writes', faults: [tableFault('error', {access: 'write'})], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'one reply lost: the claim is recognised', faults: [tableFault('lostReply', {access: 'write', count: 1})], order: {}, kind: 'answered', runs: 1,
	},
	{
		name: 'all replies lost', faults: [tableFault('lostReply')], order: {}, kind: 'not-run', runs: 0,
	},
	{
		name: 'paused past the deadline', faults: [tableFault('pause')], order: {remainingMs: 80}, kind: 'not-run', runs: 0,
	},
	{
		name: 'slow within the deadline', faults: [tableFault('delay', {delayMs: 20})], order: {}, kind: 'answered', runs: 1,
	},
];

test.each(outages)('table $name', async ({faults, order: changes, kind, runs}) => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = entry(platform);
	platform.setFaults(faults);
	expect(await a.submit(order(upstream.dispatch, changes))).toMatchObject({kind});
	expect(upstream.runs()).toBe(runs);
	platform.setFaults([]);
	await a.stop();
	const resent = await entry(platform, {entryId: 'b'}).submit(order(upstream.dispatch, {...changes, attempt: 9, remainingMs: 1000}));
	expect(upstream.runs()).toBeLessThanOrEqual(1);
	if (runs === 1) {
		expect(resent.kind).toBe('replayed');
	}
});

test('outcomes wait for the table to come back', async () => {
	const platform = createMemoryPlatform();
	const upstream = createUpstream();
	const a = entry(platform);
	const outcome = await a.submit(order(async () => {
		platform.setFaults([tableFault('down')]);
		return upstream.dispatch();
	}));
	expect(outcome.kind).toBe('answered');
	const b = entry(platform, {entryId: 'b'});
	expect(await b.ask('orders', 't', 'k')).toEqual({state: 'unavailable', answer: undefined});
	platform.setFaults([]);
	expect(await b.submit(order(upstream.dispatch, {attempt: 2}))).toEqual({kind: 'replayed', answer});
});

test.each([
	{name: 'in the object store', objects: true, kind: 'replayed'},
	{name: 'as status and hash without one', objects: false, kind: 'in-doubt'},
])('a large answer is kept $name', async ({objects, kind}) => {
	const platform = createMemoryPlatform();
	const large = {...answer, body: 'A'.repeat(100_000)};
	const upstream = createUpstream({kind: 'answered', answer: large});
	const a = entry(platform, objects ? {} : {objects: undefined});
	await a.submit(order(upstream.dispatch));
	expect((await a.submit(order(upstream.dispatch, {attempt: 2}))).kind).toBe(kind); // eslint-disable-line unicorn/no-await-expression-member
	expect(upstream.runs()).toBe(1);
});
