import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createColdRateLimiter} from '../coldRateLimiter.js';
import {createOverflowBudget} from '../overflowBudget.js';
import {createRetryBudget} from '../retryBudget.js';
import {createSlidingWindowCounter} from '../slidingWindowCounter.js';

describe('sliding window counter', () => {
	test('drops events after the end of the window and not earlier', () => {
		const clock = createManualClock(5);
		const counter = createSlidingWindowCounter(clock.now, 1000);
		counter.record();
		clock.advance(999);
		expect(counter.count()).toBe(1);
		clock.advance(60);
		expect(counter.count()).toBe(0);
	});

	test('counts events over many buckets and after long pauses', () => {
		const clock = createManualClock();
		const counter = createSlidingWindowCounter(clock.now, 1000);
		for (let index = 0; index < 40; index++) {
			counter.record();
			clock.advance(50);
		}

		expect(counter.count()).toBeGreaterThanOrEqual(19);
		expect(counter.count()).toBeLessThanOrEqual(21);
		clock.advance(1_000_000);
		expect(counter.count()).toBe(0);
	});
});

describe('retry budget during many failures', () => {
	const limit = {ratio: 0.2, extraRetries: 56, windowMs: 10_000};

	test.each([1, 3, 8, 14, 80])('%i instances together stay within the retry limit in every window', instances => {
		const clock = createManualClock();
		const budgets = Array.from({length: instances}, () => createRetryBudget(clock.now, () => limit, () => instances));
		const taken: number[] = [];
		const requests: number[] = [];
		for (let tick = 0; tick < 300; tick++) {
			for (const budget of budgets) {
				budget.recordRequest();
				requests.push(clock.now());
				if (budget.tryTake()) {
					taken.push(clock.now());
				}
			}

			clock.advance(100);
		}

		for (let end = limit.windowMs; end <= clock.now(); end += 500) {
			const inWindow = (times: readonly number[]) => times.filter(time => time > end - limit.windowMs && time <= end).length;
			expect(inWindow(taken)).toBeLessThanOrEqual((limit.ratio * inWindow(requests)) + limit.extraRetries);
		}
	});
});

describe('rate limit of a cold endpoint', () => {
	test('holds while newly started instances have not discovered their peers', () => {
		const clock = createManualClock();
		const ids = Array.from({length: 80}, (_, index) => `instance-${index}`);
		const startedIds = new Set(ids.slice(0, 5));
		const limiters = ids.map(id => createColdRateLimiter({
			clock: clock.now, self: id, instances: () => startedIds.has(id) ? [id] : ids, hasDiscoveredPeers: () => !startedIds.has(id),
		}));
		let sends = 0;
		for (let tick = 0; tick < 100; tick++) {
			for (const limiter of limiters) {
				if (limiter.maySend('endpoint', 3.7)) {
					limiter.recordSend('endpoint', 3.7);
					sends += 1;
				}
			}

			clock.advance(10);
		}

		expect(sends).toBeLessThanOrEqual(3.7 * 1.5);
	});

	test.each([2, 8, 14])('holds in every second for requests from %i instances', count => {
		const clock = createManualClock();
		const ids = Array.from({length: count}, (_, index) => `instance-${index}`);
		const limiters = ids.map(id => createColdRateLimiter({
			clock: clock.now, self: id, instances: () => ids, hasDiscoveredPeers: () => true,
		}));
		const sends: number[] = [];
		for (let tick = 0; tick < 400; tick++) {
			for (const limiter of limiters) {
				if (limiter.maySend('endpoint', 4.5)) {
					limiter.recordSend('endpoint', 4.5);
					sends.push(clock.now());
				}
			}

			clock.advance(10);
		}

		for (let start = 0; start < 3000; start += 10) {
			expect(sends.filter(time => time >= start && time < start + 1000).length).toBeLessThanOrEqual(4.5 * 1.5);
		}

		expect(sends.length).toBeGreaterThan(10);
	});

	test('is exceeded only by a bounded amount while instances disagree on the members', () => {
		const clock = createManualClock();
		const ids = Array.from({length: 8}, (_, index) => `instance-${index}`);
		const limiters = ids.map((id, index) => createColdRateLimiter({
			clock: clock.now, self: id, instances: () => index < 4 ? ids.slice(0, 4) : ids.slice(4), hasDiscoveredPeers: () => true,
		}));
		let sends = 0;
		for (let tick = 0; tick < 100; tick++) {
			for (const limiter of limiters) {
				if (limiter.maySend('endpoint', 4.5)) {
					limiter.recordSend('endpoint', 4.5);
					sends += 1;
				}
			}

			clock.advance(10);
		}

		expect(sends).toBeLessThanOrEqual((4.5 * 1.5) + 8);
	});
});

describe('overflow from a full region', () => {
	test('is limited to a small part of the requests within two seconds', () => {
		const clock = createManualClock();
		const budget = createOverflowBudget(clock.now, () => 0.15);
		let overflows = 0;
		for (let request = 0; request < 100; request++) {
			budget.recordRequest();
			overflows += budget.tryTake() ? 1 : 0;
			clock.advance(20);
		}

		expect(overflows).toBeGreaterThan(0);
		expect(overflows).toBeLessThanOrEqual(6);
	});
});
