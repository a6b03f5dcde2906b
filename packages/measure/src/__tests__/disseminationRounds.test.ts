import {createRandom} from '@filbertwell/utils/random';
import {expect, test} from 'vitest';
import {repeatDissemination, stateTargets, versionTargets} from '../disseminationRounds.js';
import {fitLine} from '../fitLine.js';

const hopSeconds = 0.1;
const roundSeconds = 1;

test.each([
	['state', stateTargets, 8, 0],
	['state', stateTargets, 890, 0.01],
	['state', stateTargets, 890, 0.2],
	['version', versionTargets, 890, 0.01],
	['version', versionTargets, 890, 0.2],
])('a change of %s relayed to %i peers at a time reaches %i members within 9 s with a loss of %d', (_, targets, members, loss) => {
	const {hops, rounds} = repeatDissemination({
		members, targets, loss, random: createRandom(1),
	}, 50);
	expect((hops * hopSeconds) + (rounds * roundSeconds)).toBeLessThan(9);
});

test('fitLine returns the line on which all points lie', () => {
	const line = fitLine([8, 16, 32, 64].map(x => ({x, y: 3 + (0.5 * x)})));
	expect(line.slope).toBeCloseTo(0.5);
	expect(line.at(890)).toBeCloseTo(448);
});
