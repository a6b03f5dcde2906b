import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {createYieldIfDue, forEachConcurrently} from '../cooperativeWork.js';

const stepMs = 0.5;
const sliceMs = 2;
const taskCount = 16;

test('tasks that share a time slice block the event loop no longer than a single task would', async () => {
	const clock = createManualClock();
	const yieldIfDue = createYieldIfDue(clock.now);
	let turnStartedAt = clock.now();
	let longestTurnMs = 0;
	let isWatching = true;
	const watch = () => {
		longestTurnMs = Math.max(longestTurnMs, clock.now() - turnStartedAt);
		turnStartedAt = clock.now();
		if (isWatching) {
			setImmediate(watch);
		}
	};

	setImmediate(watch);
	await forEachConcurrently(Array.from({length: 500}), taskCount, async () => {
		clock.advance(stepMs);
		await yieldIfDue();
		return true;
	});
	isWatching = false;
	expect(clock.now()).toBe(500 * stepMs);
	// Each task may take one more step after the time slice has ended.
	expect(longestTurnMs).toBeLessThanOrEqual(sliceMs + ((taskCount + 1) * stepMs));
});

test('no task starts after one returned false, and the concurrency limit is kept', async () => {
	let running = 0;
	let maximumRunning = 0;
	let started = 0;
	const finished = await forEachConcurrently(Array.from({length: 100}), 4, async (_, index) => {
		started += 1;
		running += 1;
		maximumRunning = Math.max(maximumRunning, running);
		await Promise.resolve();
		running -= 1;
		return index < 10;
	});
	expect(finished).toBe(false);
	expect(maximumRunning).toBe(4);
	expect(started).toBeLessThan(20);
});
