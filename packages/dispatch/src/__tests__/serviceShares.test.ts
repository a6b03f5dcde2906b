import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createServiceShares, inferDemands, type RegionUsage} from '../serviceShares.js';

type Region = 'small' | 'large' | 'middle';

/** Slots of each region. The small region has a tenth of them and a third of the callers. */
const slots: Readonly<Record<Region, number>> = {small: 80, large: 400, middle: 336};
const regions: readonly Region[] = ['small', 'large', 'middle'];
const tickMs = 250;

/**
 * Simulates the shares of the small region for a given demand of its callers, in slots. Endpoints report the load that
 * results from the shares; the demand itself is not reported.
 */
const simulate = (seconds: number, demandOf: (second: number) => number, slotsOf = (_: number): Readonly<Partial<Record<Region, number>>> => slots) => {
	const clock = createManualClock();
	const localUtilizations: number[] = [];
	const localShares: number[] = [];
	let loads = new Map<Region, number>();
	let second = 0;
	const shares = createServiceShares({
		clock: clock.now,
		localRegion: 'small',
		// No heartbeat has reported a request rate yet.
		instances: () => Array.from({length: 80}, () => ({region: 'large', requestsPerSecond: 0})),
		slotsPerRequest: () => 0.5,
		usages: () => regions.flatMap((region): RegionUsage[] => {
			const regionSlots = slotsOf(second)[region];
			return regionSlots === undefined
				? []
				: [{
					region, slots: regionSlots, effectiveSlots: regionSlots, load: loads.get(region) ?? 0,
				}];
		}),
		largestShift: () => 0.15,
	});
	for (let tick = 0; tick < seconds * 1000 / tickMs; tick++) {
		second = tick * tickMs / 1000;
		const current = shares.of('stock');
		const demand = demandOf(second);
		const otherLoad: Readonly<Record<Region, number>> = {small: 0, large: 120, middle: 120};
		loads = new Map(regions.map(region => [region, otherLoad[region] + (demand * (current.get(region) ?? 0))]));
		localUtilizations.push((loads.get('small') ?? 0) / slots.small);
		localShares.push(current.get('small') ?? 0);
		clock.advance(tickMs);
		shares.updateAll();
	}

	return {localUtilizations, localShares};
};

describe('region with a tenth of the slots and a third of the callers', () => {
	test('sends its excess to the other regions without request rates from their instances', () => {
		const {localUtilizations} = simulate(60, () => 120);
		for (const utilization of localUtilizations.slice(20 * 4)) {
			expect(utilization).toBeGreaterThan(0.4);
			expect(utilization).toBeLessThan(0.7);
		}
	});

	test('uses fewer slots than it has during surges of demand', () => {
		const {localUtilizations} = simulate(120, second => 120 * (1 + (0.55 * Math.sin(second * 2 * Math.PI / 36))));
		expect(Math.max(...localUtilizations.slice(20 * 4))).toBeLessThan(0.95);
	});

	test('never moves more than half of the bound on shifts in two seconds', () => {
		const {localShares} = simulate(120, second => second % 20 < 10 ? 60 : 200);
		for (let index = 8; index < localShares.length; index++) {
			expect(Math.abs(localShares[index]! - localShares[index - 8]!)).toBeLessThanOrEqual(0.075 + 1e-9);
		}
	});

	test('serves its requests locally again after its endpoints were lost and returned', () => {
		const {localShares} = simulate(60, () => 30, second => second > 10 && second < 20 ? {large: 400, middle: 336} : slots);
		expect(localShares[15 * 4]).toBe(0);
		expect(localShares.at(-1)!).toBeGreaterThan(0.9);
	});
});

test('requests that the local region sends to others do not count as their demand', () => {
	const usages = [{
		region: 'small', slots: 80, effectiveSlots: 80, load: 40,
	}, {
		region: 'large', slots: 400, effectiveSlots: 400, load: 180,
	}];
	expect(inferDemands('small', usages, new Map([['small', 0.4], ['large', 0.6]]))).toEqual([
		{region: 'small', capacity: 80, demand: 100}, {region: 'large', capacity: 400, demand: 120},
	]);
});
