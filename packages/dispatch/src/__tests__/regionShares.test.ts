import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createRateLimitedShares, targetShares} from '../regionShares.js';

describe('target shares', () => {
	test('keep requests in the local region while it has capacity', () => {
		const shares = targetShares('south', [{region: 'south', demand: 2, capacity: 8}, {region: 'north', demand: 2, capacity: 8}]);
		expect(shares.get('south')).toBe(1);
	});

	test('send the excess of a small region to the others in proportion to their spare capacity', () => {
		const shares = targetShares('small', [
			{region: 'small', demand: 10, capacity: 5}, {region: 'large', demand: 10, capacity: 20}, {region: 'middle', demand: 10, capacity: 15},
		]);
		expect(shares.get('small')!).toBeCloseTo(0.375, 3);
		expect(shares.get('large')!).toBeGreaterThan(shares.get('middle')!);
		expect([...shares.values()].reduce((sum, share) => sum + share, 0)).toBeCloseTo(1, 6);
	});

	test('assume the same demand for all regions before there are requests', () => {
		const shares = targetShares('small', [{region: 'small', demand: 0, capacity: 8}, {region: 'large', demand: 0, capacity: 24}]);
		expect(shares.get('small')!).toBeCloseTo(0.5, 3);
	});

	test('are empty without capacity', () => {
		expect(targetShares('south', [{region: 'south', demand: 1, capacity: 0}]).size).toBe(0);
	});
});

describe('rate-limited shares', () => {
	test('do not move faster than permitted', () => {
		const clock = createManualClock();
		const limitedShares = createRateLimitedShares(clock.now, 0.0375);
		const regions = new Set(['south', 'north']);
		limitedShares.update(new Map([['south', 1], ['north', 0]]), regions);
		for (let update = 0; update < 8; update++) {
			clock.advance(250);
			limitedShares.update(new Map([['south', 0.2], ['north', 0.8]]), regions);
		}

		expect(limitedShares.current().get('north')!).toBeCloseTo(0.075, 6);
	});

	test('move immediately away from a region that lost its capacity', () => {
		const clock = createManualClock();
		const limitedShares = createRateLimitedShares(clock.now, 0.01);
		limitedShares.update(new Map([['south', 0.5], ['north', 0.3], ['west', 0.2]]), new Set(['south', 'north', 'west']));
		limitedShares.update(new Map([['north', 0.6], ['west', 0.4]]), new Set(['north', 'west']));
		expect(limitedShares.current().has('south')).toBe(false);
		expect(limitedShares.current().get('north')!).toBeCloseTo(0.6, 6);
	});
});
