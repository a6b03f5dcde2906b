import {uptime} from 'node:os';
import {describe, expect, test} from 'vitest';
import {createManualClock, monotonicClock} from '../clock.js';
import {createSuspendAwareClock} from '../suspendAwareClock.js';

const startClocks = () => {
	const steady = createManualClock(10);
	const wall = createManualClock(1_700_000_000_000);
	const sinceBoot = createManualClock(90_000);
	let bootReadings = 0;
	const clock = createSuspendAwareClock({
		steady: steady.now,
		wall: wall.now,
		sinceBoot() {
			bootReadings += 1;
			return sinceBoot.now();
		},
	});
	return {
		clock,
		bootReadings: () => bootReadings,
		adjustWall: wall.advance,
		run(milliseconds: number) {
			steady.advance(milliseconds);
			wall.advance(milliseconds);
			sinceBoot.advance(milliseconds);
		},
		suspend(milliseconds: number) {
			wall.advance(milliseconds);
			sinceBoot.advance(milliseconds);
		},
	};
};

describe('clock of a machine that is suspended', () => {
	test('counts the suspension from its first reading afterwards', () => {
		const {clock, run, suspend} = startClocks();
		const startMs = clock();
		run(1000);
		suspend(8000);
		expect(clock() - startMs).toBe(9000);
		run(500);
		suspend(3000);
		run(20);
		expect(clock() - startMs).toBe(12_520);
	});

	test.each([2000, -2000, 600_000])('ignores an adjustment of the wall clock by %i ms', adjustmentMs => {
		const {clock, run, adjustWall} = startClocks();
		const startMs = clock();
		run(1000);
		adjustWall(adjustmentMs);
		expect(clock() - startMs).toBe(1000);
		run(1000);
		adjustWall(-adjustmentMs);
		expect(clock() - startMs).toBe(2000);
	});

	test('counts a suspension after an adjustment of the wall clock', () => {
		const {clock, run, suspend, adjustWall} = startClocks();
		const startMs = clock();
		adjustWall(-5000);
		run(100);
		clock();
		suspend(4000);
		expect(clock() - startMs).toBe(4100);
	});

	test('never goes back and reads the time since boot only after jumps', () => {
		const {clock, run, bootReadings} = startClocks();
		const readingsAtStart = bootReadings();
		let previousMs = clock();
		for (let index = 0; index < 1000; index++) {
			run(7);
			expect(clock()).toBeGreaterThanOrEqual(previousMs);
			previousMs = clock();
		}

		expect(bootReadings()).toBe(readingsAtStart);
	});
});

test('the clock of the process advances with the time since boot', async () => {
	const [startMs, bootStartSeconds] = [monotonicClock(), uptime()];
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expect(Math.abs((monotonicClock() - startMs) - ((uptime() - bootStartSeconds) * 1000))).toBeLessThan(1000);
});
