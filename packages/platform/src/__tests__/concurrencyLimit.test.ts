import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createConcurrencyLimit} from '../concurrencyLimit.js';

const longWaitMs = 60_000;

test('calls beyond the limit wait in order, and calls beyond the queue are rejected', async () => {
	const limit = createConcurrencyLimit(1, 2);
	const entered: number[] = [];
	const enter = async (index: number) => {
		const admission = await limit.acquire(longWaitMs);
		if (admission === 'entered') {
			entered.push(index);
		}

		return admission;
	};

	await enter(0);
	const waiting = [enter(1), enter(2)];
	expect(await enter(3)).toBe('queueFull');
	limit.release();
	await waiting[0];
	expect(entered).toEqual([0, 1]);
	limit.release();
	await waiting[1];
	expect(entered).toEqual([0, 1, 2]);
	limit.release();
	expect([limit.active(), limit.queued()]).toEqual([0, 0]);
});

test('a call that timed out is removed from the queue', async () => {
	const limit = createConcurrencyLimit(1, 1);
	await limit.acquire(longWaitMs);
	expect(await limit.acquire(1)).toBe('timedOut');
	expect(limit.queued()).toBe(0);
	limit.release();
	expect(await limit.acquire(longWaitMs)).toBe('entered');
});

test('neither limit is ever exceeded', async () => {
	await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 4}), fc.integer({min: 0, max: 4}), fc.array(fc.boolean(), {maxLength: 60}), async (maximumActive, maximumQueued, steps) => {
		const limit = createConcurrencyLimit(maximumActive, maximumQueued);
		const pending: Array<Promise<unknown>> = [];
		for (const shouldAcquire of steps) {
			if (shouldAcquire) {
				pending.push(limit.acquire(longWaitMs));
			} else if (limit.active() > 0) {
				limit.release();
			}

			expect(limit.active()).toBeLessThanOrEqual(maximumActive);
			expect(limit.queued()).toBeLessThanOrEqual(maximumQueued);
		}

		while (limit.active() > 0) {
			limit.release();
		}

		await Promise.all(pending);
		expect(limit.queued()).toBe(0);
	}), {seed: 11, numRuns: 200});
});
