import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createManualClock} from '@filbertwell/utils/clock';
import type {RequestClass} from '@filbertwell/types/intent';
import {createClassQueue, type QueuedRequest} from '../classQueue.js';
import {createFairQueue} from '../fairQueue.js';
import {createTenantShares} from '../tenantShares.js';

const evenWeight = () => 1;

test('serves a tenant with few requests before one with many that queued earlier', () => {
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

test('tenants with a permanent backlog share by weight', () => {
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

test('size and cost match the queued items after any sequence of operations', () => {
	const operation = fc.record({action: fc.constantFrom('push', 'take', 'drop', 'remove'), tenant: fc.constantFrom('a', 'b', 'c'), costMs: fc.integer({min: 1, max: 50})});
	fc.assert(fc.property(fc.array(operation, {maxLength: 200}), operations => {
		const queue = createFairQueue<{tenant: string; costMs: number}>(evenWeight);
		let queued: Array<{tenant: string; costMs: number}> = [];
		for (const {action, tenant, costMs} of operations) {
			const item = {tenant, costMs};
			if (action === 'push') {
				queue.push(item);
				queued.push(item);
			} else {
				const removed = action === 'take' ? queue.take() : (action === 'drop' ? queue.dropNewest() : queued[0]);
				if (action === 'remove' && removed !== undefined) {
					expect(queue.remove(removed)).toBe(true);
				}

				queued = queued.filter(other => other !== removed);
			}

			expect(queue.size()).toBe(queued.length);
			expect(queue.costMs()).toBe(queued.reduce((sum, other) => sum + other.costMs, 0));
			expect(queue.peek() === undefined).toBe(queued.length === 0);
		}
	}), {seed: 5, numRuns: 100});
});

const queuedRequest = (requestClass: RequestClass, log: string[], lane = 'x', canStart = () => true): QueuedRequest => ({
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
	onDisplaced() {
		log.push(`displaced ${requestClass}`);
	},
});

test('a full queue displaces the lowest class first and refuses a request when none is lower', () => {
	const log: string[] = [];
	const queue = createClassQueue(evenWeight, 2);
	expect(queue.push(queuedRequest('background', log))).toBe(true);
	expect(queue.push(queuedRequest('interactive', log))).toBe(true);
	expect(queue.push(queuedRequest('critical', log))).toBe(true);
	expect(queue.push(queuedRequest('critical', log))).toBe(true);
	expect(queue.push(queuedRequest('interactive', log))).toBe(false);
	expect(log).toStrictEqual(['displaced background', 'displaced interactive']);
	expect(queue.size()).toBe(2);
});

test('starts classes in order, and a lane without free slots does not block the others', () => {
	const log: string[] = [];
	const queue = createClassQueue(evenWeight);
	const requests = [
		queuedRequest('background', log),
		queuedRequest('interactive', log, 'long', () => false),
		queuedRequest('interactive', log, 'short'),
		queuedRequest('critical', log),
	];
	for (const request of requests) {
		queue.push(request);
	}

	queue.startReady();
	expect(log).toStrictEqual(['start critical x', 'start interactive short', 'start background x']);
	expect(queue.size()).toBe(1);
});

test('a tenant is over its share only while others are active, and inactive tenants are removed', () => {
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
