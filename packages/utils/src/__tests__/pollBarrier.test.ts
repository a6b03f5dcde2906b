/**
 * Work that begins before the event loop has read what was received with its request, or long after that, runs for callers
 * that have left.
 */
import {describe, expect, test} from 'vitest';
import {createManualClock} from '../clock.js';
import {createPollBarrier} from '../pollBarrier.js';

/** Counts the turns of the event loop until it is stopped. */
const countTurns = () => {
	let turns = 0;
	let isCounting = true;
	const count = () => {
		turns += 1;
		if (isCounting) {
			setImmediate(count);
		}
	};

	setImmediate(count);
	return {
		turns: () => turns,
		stop() {
			isCounting = false;
		},
	};
};

describe('the barrier of the event loop', () => {
	test('lets a whole poll pass between the call and the work', async () => {
		const afterNextPoll = createPollBarrier(() => 0);
		const counter = countTurns();
		const before = counter.turns();
		await afterNextPoll();
		counter.stop();
		expect(counter.turns() - before).toBeGreaterThanOrEqual(2);
	});

	test('lets its callers resume in the order in which they came', async () => {
		const afterNextPoll = createPollBarrier(() => 0);
		const order: number[] = [];
		await Promise.all(Array.from({length: 50}, async (_, index) => {
			await afterNextPoll();
			order.push(index);
		}));
		expect(order).toEqual(Array.from({length: 50}, (_, index) => index));
	});

	test('begins work of a crowd only soon after a poll, however long the work takes, and all of it in the end', async () => {
		const workMs = 15;
		const crowd = 40;
		const clock = createManualClock();
		const afterNextPoll = createPollBarrier(clock.now);
		const counter = countTurns();
		const startsByTurn = new Map<number, number[]>();
		await Promise.all(Array.from({length: crowd}, async () => {
			await afterNextPoll();
			const starts = startsByTurn.get(counter.turns()) ?? [];
			startsByTurn.set(counter.turns(), [...starts, clock.now()]);
			clock.advance(workMs);
		}));
		counter.stop();
		const starts = [...startsByTurn.values()];
		expect(starts.flat()).toHaveLength(crowd);
		expect(Math.max(...starts.map(turn => turn.at(-1)! - turn[0]!))).toBeLessThanOrEqual(20);
	});

	test('lets work begin although each piece takes longer than a turn may', async () => {
		const clock = createManualClock();
		const afterNextPoll = createPollBarrier(clock.now);
		let begun = 0;
		await Promise.all(Array.from({length: 10}, async () => {
			await afterNextPoll();
			begun += 1;
			clock.advance(1000);
		}));
		expect(begun).toBe(10);
	});
});
