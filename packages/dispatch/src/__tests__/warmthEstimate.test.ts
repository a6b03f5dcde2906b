import {expect, test} from 'vitest';
import {createWarmthEstimate} from '../warmthEstimate.js';

test('the warmth follows whether processing times are closer to the warm or to the cold one', () => {
	const warmth = createWarmthEstimate(0.5);
	for (let sample = 0; sample < 100; sample++) {
		warmth.record(300, 250, 1000);
	}

	expect(warmth.probability()).toBeGreaterThan(0.95);
	for (let sample = 0; sample < 100; sample++) {
		warmth.record(sample % 2 === 0 ? 240 : 900, 250, 1000);
	}

	expect(warmth.probability()).toBeGreaterThan(0.4);
	expect(warmth.probability()).toBeLessThan(0.6);
});
