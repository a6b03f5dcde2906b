import {expect, test} from 'vitest';
import {isKnownRed} from '../knownRed.js';

const lines = ['overload: npm run measure -- --experiment overload --seed 2: goodput 0.86, issue 4'];

test.each([
	['overload', true],
	['over', false],
	['overload-more', false],
	['seed', false],
])('experiment %s is listed as known: %s', (experiment, known) => {
	expect(isKnownRed(lines, experiment)).toBe(known);
});
