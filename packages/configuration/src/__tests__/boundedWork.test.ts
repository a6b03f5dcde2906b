import {createManualClock} from '@filbertwell/utils/clock';
import {expect, test} from 'vitest';
import {createPace, forEachBounded} from '../boundedWork.js';

const stepMs = 0.5;
const shareMs = 2;
const tasks = 16;

test('tasks that share a pace hold the event loop no longer than one task would', async () => {
	const clock = createManualClock();
	const pace = createPace(clock.now);
	let turnStartedAt = clock.now();
	let longestTurnMs = 0;
	let watching = true;
	const watch = () => {
		longestTurnMs = Math.max(longestTurnMs, clock.now() - turnStartedAt);
		turnStartedAt = clock.now();
		if (watching) {
			setImmediate(watch);
		}
	};

	setImmediate(watch);
	await forEachBounded(Array.from({length: 500}), tasks, async () => {
		clock.advance(stepMs);
		await pace();
		return true;
	});
	watching = false;
	expect(clock.now()).toBe(500 * stepMs);
	// Each of the tasks may take one step after the share of time is over.
	expect(longestTurnMs).toBeLessThanOrEqual(shareMs + ((tasks + 1) * stepMs));
});

test('no task starts after one has failed, and no more run at once than allowed', async () => {
	let running = 0;
	let most = 0;
	let started = 0;
	const finished = await forEachBounded(Array.from({length: 100}), 4, async (_, index) => {
		started += 1;
		running += 1;
		most = Math.max(most, running);
		await Promise.resolve();
		running -= 1;
		return index < 10;
	});
	expect(finished).toBe(false);
	expect(most).toBe(4);
	expect(started).toBeLessThan(20);
});
