import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createConcurrencyLimit} from '../concurrencyLimit.js';

const longWaitMs = 60_000;

test('calls beyond the limit wait in order; calls beyond the queue are turned away', async () => {
	const limit = createConcurrencyLimit(1, 2);
	const entered: number[] = [];
	const enter = async (index: number) => {
		const entrance = await limit.enter(longWaitMs);
		if (entrance === 'entered') {
			entered.push(index);
		}

		return entrance;
	};

	await enter(0);
	const waiting = [enter(1), enter(2)];
	expect(await enter(3)).toBe('queueFull');
	limit.leave();
	await waiting[0];
	expect(entered).toEqual([0, 1]);
	limit.leave();
	await waiting[1];
	expect(entered).toEqual([0, 1, 2]);
	limit.leave();
	expect([limit.active(), limit.queued()]).toEqual([0, 0]);
});

test('a call that waited too long frees its place in the queue', async () => {
	const limit = createConcurrencyLimit(1, 1);
	await limit.enter(longWaitMs);
	expect(await limit.enter(1)).toBe('timedOut');
	expect(limit.queued()).toBe(0);
	limit.leave();
	expect(await limit.enter(longWaitMs)).toBe('entered');
});

test('neither bound is ever passed', async () => {
	await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 4}), fc.integer({min: 0, max: 4}), fc.array(fc.boolean(), {maxLength: 60}), async (maximumActive, maximumQueued, steps) => {
		const limit = createConcurrencyLimit(maximumActive, maximumQueued);
		const pending: Array<Promise<unknown>> = [];
		for (const enters of steps) {
			if (enters) {
				pending.push(limit.enter(longWaitMs));
			} else if (limit.active() > 0) {
				limit.leave();
			}

			expect(limit.active()).toBeLessThanOrEqual(maximumActive);
			expect(limit.queued()).toBeLessThanOrEqual(maximumQueued);
		}

		while (limit.active() > 0) {
			limit.leave();
		}

		await Promise.all(pending);
		expect(limit.queued()).toBe(0);
	}), {seed: 11, numRuns: 200});
});
