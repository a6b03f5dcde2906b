import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createColdAllowance} from '../coldAllowance.js';
import {createOverflowAllowance} from '../overflowAllowance.js';
import {createRetryAllowance} from '../retryAllowance.js';
import {createSlidingCount} from '../slidingCount.js';

describe('sliding count', () => {
	test('forgets events after the window and not before', () => {
		const clock = createManualClock(5);
		const count = createSlidingCount(clock.now, 1000);
		count.record();
		clock.advance(999);
		expect(count.count()).toBe(1);
		clock.advance(60);
		expect(count.count()).toBe(0);
	});

	test('counts across many steps and long pauses', () => {
		const clock = createManualClock();
		const count = createSlidingCount(clock.now, 1000);
		for (let index = 0; index < 40; index++) {
			count.record();
			clock.advance(50);
		}

		expect(count.count()).toBeGreaterThanOrEqual(19);
		expect(count.count()).toBeLessThanOrEqual(21);
		clock.advance(1_000_000);
		expect(count.count()).toBe(0);
	});
});

describe('a storm of failures', () => {
	const bound = {ratio: 0.2, extra: 56, windowMs: 10_000};

	test.each([1, 3, 8, 14, 80])('%i instances together stay within the bound on repeats in every window', instances => {
		const clock = createManualClock();
		const allowances = Array.from({length: instances}, () => createRetryAllowance(clock.now, () => bound, () => instances));
		const taken: number[] = [];
		const requests: number[] = [];
		for (let step = 0; step < 300; step++) {
			for (const allowance of allowances) {
				allowance.recordRequest();
				requests.push(clock.now());
				if (allowance.tryTake()) {
					taken.push(clock.now());
				}
			}

			clock.advance(100);
		}

		for (let end = bound.windowMs; end <= clock.now(); end += 500) {
			const inWindow = (times: readonly number[]) => times.filter(time => time > end - bound.windowMs && time <= end).length;
			expect(inWindow(taken)).toBeLessThanOrEqual((bound.ratio * inWindow(requests)) + bound.extra);
		}
	});
});

describe('a cold endpoint', () => {
	test('gets no more than it bears while instances that have just started know none of the others', () => {
		const clock = createManualClock();
		const ids = Array.from({length: 80}, (_, index) => `instance-${index}`);
		const started = new Set(ids.slice(0, 5));
		const allowances = ids.map(id => createColdAllowance({
			clock: clock.now, self: id, instances: () => started.has(id) ? [id] : ids, knowsPeers: () => !started.has(id),
		}));
		let sends = 0;
		for (let step = 0; step < 100; step++) {
			for (const allowance of allowances) {
				if (allowance.mayTake('endpoint', 3.7)) {
					allowance.take('endpoint', 3.7);
					sends += 1;
				}
			}

			clock.advance(10);
		}

		expect(sends).toBeLessThanOrEqual(3.7 * 1.5);
	});

	test.each([2, 8, 14])('gets no more than it bears in any second from %i instances', count => {
		const clock = createManualClock();
		const ids = Array.from({length: count}, (_, index) => `instance-${index}`);
		const allowances = ids.map(id => createColdAllowance({
			clock: clock.now, self: id, instances: () => ids, knowsPeers: () => true,
		}));
		const sends: number[] = [];
		for (let step = 0; step < 400; step++) {
			for (const allowance of allowances) {
				if (allowance.mayTake('endpoint', 4.5)) {
					allowance.take('endpoint', 4.5);
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

	test('keeps to its bound while instances disagree on who is there', () => {
		const clock = createManualClock();
		const ids = Array.from({length: 8}, (_, index) => `instance-${index}`);
		const allowances = ids.map((id, index) => createColdAllowance({
			clock: clock.now, self: id, instances: () => index < 4 ? ids.slice(0, 4) : ids.slice(4), knowsPeers: () => true,
		}));
		let sends = 0;
		for (let step = 0; step < 100; step++) {
			for (const allowance of allowances) {
				if (allowance.mayTake('endpoint', 4.5)) {
					allowance.take('endpoint', 4.5);
					sends += 1;
				}
			}

			clock.advance(10);
		}

		expect(sends).toBeLessThanOrEqual((4.5 * 1.5) + 8);
	});
});

describe('a region that fills up', () => {
	test('lets only a small part overflow within two seconds', () => {
		const clock = createManualClock();
		const allowance = createOverflowAllowance(clock.now, () => 0.15);
		let overflows = 0;
		for (let request = 0; request < 100; request++) {
			allowance.recordRequest();
			overflows += allowance.tryTake() ? 1 : 0;
			clock.advance(20);
		}

		expect(overflows).toBeGreaterThan(0);
		expect(overflows).toBeLessThanOrEqual(6);
	});
});
