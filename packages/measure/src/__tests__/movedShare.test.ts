import {expect, test} from 'vitest';
import {findLargestMove, type GroupedRun} from '../movedShare.js';

const stepMs = 10;

/** Runs of one group that move from region a to region b at an even rate between two times. */
const shiftedRuns = (fromMs: number, untilMs: number): GroupedRun[] => Array.from({length: 2000}, (_, index) => {
	const startedAtMs = index * stepMs;
	const share = Math.min(1, Math.max(0, (startedAtMs - fromMs) / (untilMs - fromMs)));
	const isMoved = Math.floor((index + 1) * share) > Math.floor(index * share);
	return {group: 'g', region: isMoved ? 'b' : 'a', startedAtMs};
});

test('an abrupt shift moves the whole share within a window that contains it', () => {
	const runs = shiftedRuns(9999, 10_000);
	expect(findLargestMove(runs, {fromMs: 0, toMs: 20_000, windowMs: 5000}).moved).toBeCloseTo(1);
});

test('a gradual shift moves a share in proportion to the window', () => {
	const runs: GroupedRun[] = [];
	let credit = 0;
	for (let atMs = 0; atMs < 20_000; atMs += stepMs) {
		credit += atMs / 20_000;
		const isMoved = credit >= 1;
		credit -= isMoved ? 1 : 0;
		runs.push({group: 'g', region: isMoved ? 'b' : 'a', startedAtMs: atMs});
	}

	expect(findLargestMove(runs, {fromMs: 0, toMs: 20_000, windowMs: 5000}).moved).toBeCloseTo(0.25, 1);
});

test('a change of a group\'s request rate does not count as a move', () => {
	const near = Array.from({length: 400}, (_, index): GroupedRun => ({group: 'a', region: 'a', startedAtMs: index * 50}));
	const far = Array.from({length: 100}, (_, index): GroupedRun => ({group: 'b', region: 'b', startedAtMs: 10_000 + (index * 10)}));
	const early = Array.from({length: 10}, (_, index): GroupedRun => ({group: 'b', region: 'b', startedAtMs: index * 100}));
	expect(findLargestMove([...near, ...early, ...far], {fromMs: 0, toMs: 20_000, windowMs: 5000}).moved).toBe(0);
});
