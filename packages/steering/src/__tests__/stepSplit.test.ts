import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {ShiftHold, ZoneShare} from '@filbertwell/types/split';
import {shareOf, stepSplit, totalShare} from '../stepSplit.js';

const zones = ['a', 'b', 'c', 'd'];

const splitArbitrary = fc.array(fc.integer({min: 0, max: 100}), {minLength: 4, maxLength: 4})
	.filter(weights => weights.some(weight => weight > 0))
	.map(weights => {
		const sum = weights.reduce((total, weight) => total + weight, 0);
		return zones.map((availabilityZone, index): ZoneShare => ({availabilityZone, share: weights[index]! / sum}));
	});

const gained = (before: readonly ZoneShare[], after: readonly ZoneShare[]) => zones
	.reduce((sum, zone) => sum + Math.max(0, shareOf(after, zone) - shareOf(before, zone)), 0);

const budget = fc.double({min: 0, max: 1, noNaN: true});

test('a step stays within its budgets, adds nothing to held zones and keeps the total', () => {
	fc.assert(fc.property(splitArbitrary, splitArbitrary, budget, budget, fc.subarray(zones), fc.subarray(zones), (current, target, plannedBudget, failoverBudget, failed, held) => {
		const heldZones = new Map<string, ShiftHold>(held.map(zone => [zone, 'headroom']));
		const {shares} = stepSplit({
			current, target, plannedBudget, failoverBudget, failedZones: new Set(failed), heldZones,
		});
		expect(gained(current, shares)).toBeLessThanOrEqual(Math.max(plannedBudget, failoverBudget) + 1e-6);
		expect(totalShare(shares)).toBeCloseTo(1, 6);
		for (const zone of held) {
			expect(shareOf(shares, zone)).toBeLessThanOrEqual(shareOf(current, zone) + 1e-6);
		}
	}), {seed: 11, numRuns: 500});
});

test('repeated steps reach any target if no zone is held', () => {
	fc.assert(fc.property(splitArbitrary, splitArbitrary, (current, target) => {
		let shares: readonly ZoneShare[] = current;
		for (let step = 0; step < 11; step += 1) {
			shares = stepSplit({
				current: shares, target, plannedBudget: 0.1, failoverBudget: 0, failedZones: new Set(), heldZones: new Map(),
			}).shares;
		}

		for (const zone of zones) {
			expect(shareOf(shares, zone)).toBeCloseTo(shareOf(target, zone), 6);
		}
	}), {seed: 12, numRuns: 200});
});

test('a failed zone is emptied within the failover budget while planned moves wait', () => {
	const result = stepSplit({
		current: [{availabilityZone: 'a', share: 0.5}, {availabilityZone: 'b', share: 0.5}],
		target: [{availabilityZone: 'c', share: 1}],
		plannedBudget: 0.1,
		failoverBudget: 0.3,
		failedZones: new Set(['a']),
		heldZones: new Map(),
	});
	expect(shareOf(result.shares, 'a')).toBeCloseTo(0.2);
	expect(shareOf(result.shares, 'b')).toBeCloseTo(0.5);
	expect(result.heldBy).toBe('cap');
});

test('a move whose only destination lacks headroom reports headroom as the hold', () => {
	const result = stepSplit({
		current: [{availabilityZone: 'a', share: 1}],
		target: [{availabilityZone: 'b', share: 1}],
		plannedBudget: 0.1,
		failoverBudget: 0.1,
		failedZones: new Set(),
		heldZones: new Map([['b', 'headroom']]),
	});
	expect(result).toMatchObject({moved: 0, remaining: 1, heldBy: 'headroom'});
});
