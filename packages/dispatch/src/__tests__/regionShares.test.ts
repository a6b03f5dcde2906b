import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createMovingShares, wantedShares} from '../regionShares.js';

describe('shares that demand and capacity call for', () => {
	test('keep requests at home while there is room', () => {
		const shares = wantedShares('south', [{region: 'south', demand: 2, capacity: 8}, {region: 'north', demand: 2, capacity: 8}]);
		expect(shares.get('south')).toBe(1);
	});

	test('send the excess of a small region to regions with room, by their room', () => {
		const shares = wantedShares('small', [
			{region: 'small', demand: 10, capacity: 5}, {region: 'large', demand: 10, capacity: 20}, {region: 'middle', demand: 10, capacity: 15},
		]);
		expect(shares.get('small')!).toBeCloseTo(0.375, 3);
		expect(shares.get('large')!).toBeGreaterThan(shares.get('middle')!);
		expect([...shares.values()].reduce((sum, share) => sum + share, 0)).toBeCloseTo(1, 6);
	});

	test('take all regions for equally busy before there are requests', () => {
		const shares = wantedShares('small', [{region: 'small', demand: 0, capacity: 8}, {region: 'large', demand: 0, capacity: 24}]);
		expect(shares.get('small')!).toBeCloseTo(0.5, 3);
	});

	test('are empty without capacity', () => {
		expect(wantedShares('south', [{region: 'south', demand: 1, capacity: 0}]).size).toBe(0);
	});
});

describe('a wave of demand', () => {
	test('moves shares no faster than allowed', () => {
		const clock = createManualClock();
		const moving = createMovingShares(clock.now, 0.0375);
		const regions = new Set(['south', 'north']);
		moving.update(new Map([['south', 1], ['north', 0]]), regions);
		for (let step = 0; step < 8; step++) {
			clock.advance(250);
			moving.update(new Map([['south', 0.2], ['north', 0.8]]), regions);
		}

		expect(moving.current().get('north')!).toBeCloseTo(0.075, 6);
	});

	test('moves at once away from a region that lost its capacity', () => {
		const clock = createManualClock();
		const moving = createMovingShares(clock.now, 0.01);
		moving.update(new Map([['south', 0.5], ['north', 0.3], ['west', 0.2]]), new Set(['south', 'north', 'west']));
		moving.update(new Map([['north', 0.6], ['west', 0.4]]), new Set(['north', 'west']));
		expect(moving.current().has('south')).toBe(false);
		expect(moving.current().get('north')!).toBeCloseTo(0.6, 6);
	});
});
