import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createManualClock} from '@filbertwell/utils/clock';
import type {RequestClass} from '@filbertwell/types/intent';
import {createClassQueue, type Waiter} from '../classQueue.js';
import {createFairQueue} from '../tenantFairness.js';
import {createTenantShares} from '../tenantShares.js';

const evenWeight = () => 1;

test('a light tenant goes ahead of a heavy one that came first', () => {
	const queue = createFairQueue<{tenant: string; costMs: number}>(evenWeight);
	for (let index = 0; index < 50; index += 1) {
		queue.push({tenant: 'heavy', costMs: 10});
	}

	for (let index = 0; index < 20; index += 1) {
		queue.take();
	}

	queue.push({tenant: 'light', costMs: 10});
	expect(queue.take()?.tenant).toBe('light');
});

test('tenants that always wait share by weight', () => {
	const queue = createFairQueue<{tenant: string; costMs: number}>(tenant => tenant === 'a' ? 3 : 1);
	for (let index = 0; index < 400; index += 1) {
		for (const tenant of ['a', 'b']) {
			queue.push({tenant, costMs: 10});
		}
	}

	const taken = Array.from({length: 400}, () => queue.take()!.tenant);
	expect(taken.filter(tenant => tenant === 'a').length).toBeGreaterThan(290);
	expect(taken.filter(tenant => tenant === 'a').length).toBeLessThan(310);
});

test('sizes and costs add up for any pushes, takes and removals', () => {
	const step = fc.record({act: fc.constantFrom('push', 'take', 'drop', 'remove'), tenant: fc.constantFrom('a', 'b', 'c'), costMs: fc.integer({min: 1, max: 50})});
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const queue = createFairQueue<{tenant: string; costMs: number}>(evenWeight);
		let held: Array<{tenant: string; costMs: number}> = [];
		for (const {act, tenant, costMs} of steps) {
			const item = {tenant, costMs};
			if (act === 'push') {
				queue.push(item);
				held.push(item);
			} else {
				const gone = act === 'take' ? queue.take() : (act === 'drop' ? queue.dropNewest() : held[0]);
				if (act === 'remove' && gone !== undefined) {
					expect(queue.remove(gone)).toBe(true);
				}

				held = held.filter(other => other !== gone);
			}

			expect(queue.size()).toBe(held.length);
			expect(queue.costMs()).toBe(held.reduce((sum, other) => sum + other.costMs, 0));
			expect(queue.peek() === undefined).toBe(held.length === 0);
		}
	}), {seed: 5, numRuns: 100});
});

const waiter = (requestClass: RequestClass, log: string[], lane = 'x', canStart = () => true): Waiter => ({
	tenant: 'default',
	costMs: 10,
	requestClass,
	lane,
	tryStart() {
		if (canStart()) {
			log.push(`start ${requestClass} ${lane}`);
			return true;
		}

		return false;
	},
	displaced() {
		log.push(`displaced ${requestClass}`);
	},
});

test('a full queue gives way from the lowest class up, and refuses what is lowest', () => {
	const log: string[] = [];
	const queue = createClassQueue(evenWeight, 2);
	expect(queue.push(waiter('background', log))).toBe(true);
	expect(queue.push(waiter('interactive', log))).toBe(true);
	expect(queue.push(waiter('critical', log))).toBe(true);
	expect(queue.push(waiter('critical', log))).toBe(true);
	expect(queue.push(waiter('interactive', log))).toBe(false);
	expect(log).toStrictEqual(['displaced background', 'displaced interactive']);
	expect(queue.size()).toBe(2);
});

test('classes start in order, and a lane without room does not hold the others up', () => {
	const log: string[] = [];
	const queue = createClassQueue(evenWeight);
	const waiters = [
		waiter('background', log),
		waiter('interactive', log, 'long', () => false),
		waiter('interactive', log, 'short'),
		waiter('critical', log),
	];
	for (const waiting of waiters) {
		queue.push(waiting);
	}

	queue.startReady();
	expect(log).toStrictEqual(['start critical x', 'start interactive short', 'start background x']);
	expect(queue.size()).toBe(1);
});

test('a tenant is over its share only beside others, and is forgotten when it is gone', () => {
	const clock = createManualClock();
	const shares = createTenantShares(clock.now, evenWeight);
	shares.recordArrival('heavy');
	for (let index = 0; index < 6; index += 1) {
		shares.start('heavy');
	}

	clock.advance(4000);
	shares.recordArrival('heavy');
	expect(shares.isOverShare('heavy', 6)).toBe(false);
	for (const tenant of ['a', 'b', 'c']) {
		shares.recordArrival(tenant);
	}

	expect(shares.isOverShare('heavy', 6)).toBe(true);
	expect(shares.isOverShare('a', 6)).toBe(false);
	clock.advance(5000);
	shares.recordArrival('heavy');
	expect(shares.size()).toBe(1);
});
