import fc from 'fast-check';
import {expect, test} from 'vitest';
import {requestClasses} from '@filbertwell/types/intent';
import {createRandom} from '@filbertwell/utils/random';
import {createWeightedRoundRobin} from '../weightedRoundRobin.js';
import {createLoadShedder} from '../loadShedder.js';

test('each zone is close to its share after any number of requests', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 50}), {minLength: 1, maxLength: 6}), fc.integer({min: 1, max: 400}), (weights, requests) => {
		const sum = weights.reduce((total, weight) => total + weight, 0);
		const shares = weights.map((weight, index) => ({availabilityZone: `z${index}`, share: weight / sum}));
		const roundRobin = createWeightedRoundRobin();
		const counts = new Map<string, number>();
		for (let request = 0; request < requests; request += 1) {
			const zone = roundRobin.next(shares)!;
			counts.set(zone, (counts.get(zone) ?? 0) + 1);
		}

		for (const {availabilityZone, share} of shares) {
			expect(Math.abs((counts.get(availabilityZone) ?? 0) - (share * requests))).toBeLessThan(weights.length);
		}
	}), {seed: 13, numRuns: 200});
});

test('no zone is chosen if none has a share', () => {
	expect(createWeightedRoundRobin().next([])).toBeUndefined();
});

test('requests of the lowest class are refused first', () => {
	const loadShedder = createLoadShedder();
	const random = createRandom(14);
	const refusedCounts = {critical: 0, interactive: 0, background: 0};
	const requestCounts = {critical: 0, interactive: 0, background: 0};
	for (let request = 0; request < 6000; request += 1) {
		const requestClass = requestClasses[Math.floor(random() * 3)]!;
		const isRefused = loadShedder.shouldRefuse(requestClass, 0.5);
		if (request >= 1000) {
			requestCounts[requestClass] += 1;
			refusedCounts[requestClass] += Number(isRefused);
		}
	}

	expect(refusedCounts.critical).toBe(0);
	expect(refusedCounts.background / requestCounts.background).toBeGreaterThan(0.95);
	expect(refusedCounts.interactive / requestCounts.interactive).toBeCloseTo(0.5, 1);
});
