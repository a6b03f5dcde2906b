import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {createServiceShares, demandsByUse, type EndpointUse} from '../serviceShares.js';

type Region = 'small' | 'large' | 'middle';

/** Slots of each region: the small one has a tenth of them and a third of the callers. */
const slots: Readonly<Record<Region, number>> = {small: 80, large: 400, middle: 336};
const regions: readonly Region[] = ['small', 'large', 'middle'];
const stepMs = 250;

/**
 * Plays the small region's shares against its callers' demand, in slots. Endpoints report the load that follows from the
 * shares; nothing tells the demand itself.
 */
const play = (seconds: number, demandOf: (second: number) => number, slotsOf = (_: number): Readonly<Partial<Record<Region, number>>> => slots) => {
	const clock = createManualClock();
	const homeUses: number[] = [];
	const homeShares: number[] = [];
	let loads = new Map<Region, number>();
	let second = 0;
	const shares = createServiceShares({
		clock: clock.now,
		own: 'small',
		// Heartbeats have not told any instance's requests yet.
		demands: () => Array.from({length: 80}, () => ({region: 'large', requestsPerSecond: 0})),
		slotsPerRequest: () => 0.5,
		endpoints: () => regions.flatMap((region): EndpointUse[] => {
			const regionSlots = slotsOf(second)[region];
			return regionSlots === undefined
				? []
				: [{
					region, slots: regionSlots, slowdown: 1, load: loads.get(region) ?? 0,
				}];
		}),
		largestShift: () => 0.15,
	});
	for (let step = 0; step < seconds * 1000 / stepMs; step++) {
		second = step * stepMs / 1000;
		const current = shares.of('stock');
		const demand = demandOf(second);
		const ofOthers: Readonly<Record<Region, number>> = {small: 0, large: 120, middle: 120};
		loads = new Map(regions.map(region => [region, ofOthers[region] + (demand * (current.get(region) ?? 0))]));
		homeUses.push((loads.get('small') ?? 0) / slots.small);
		homeShares.push(current.get('small') ?? 0);
		clock.advance(stepMs);
		shares.step();
	}

	return {homeUses, homeShares};
};

describe('a region with a tenth of the slots and a third of the callers', () => {
	test('sends its excess to the others, though it hears nothing of their instances', () => {
		const {homeUses} = play(60, () => 120);
		for (const use of homeUses.slice(20 * 4)) {
			expect(use).toBeGreaterThan(0.4);
			expect(use).toBeLessThan(0.7);
		}
	});

	test('stays below its slots through waves of its callers', () => {
		const {homeUses} = play(120, second => 120 * (1 + (0.55 * Math.sin(second * 2 * Math.PI / 36))));
		expect(Math.max(...homeUses.slice(20 * 4))).toBeLessThan(0.95);
	});

	test('never moves more than half of the bound on shifts in two seconds', () => {
		const {homeShares} = play(120, second => second % 20 < 10 ? 60 : 200);
		for (let index = 8; index < homeShares.length; index++) {
			expect(Math.abs(homeShares[index]! - homeShares[index - 8]!)).toBeLessThanOrEqual(0.075 + 1e-9);
		}
	});

	test('takes its requests home again after its endpoints were lost and came back', () => {
		const {homeShares} = play(60, () => 30, second => second > 10 && second < 20 ? {large: 400, middle: 336} : slots);
		expect(homeShares[15 * 4]).toBe(0);
		expect(homeShares.at(-1)!).toBeGreaterThan(0.9);
	});
});

test('what the own region sends to others does not count as their demand', () => {
	const uses = new Map([['small', {capacity: 80, load: 40}], ['large', {capacity: 400, load: 180}]]);
	expect(demandsByUse('small', uses, new Map([['small', 0.4], ['large', 0.6]]))).toEqual([
		{region: 'small', capacity: 80, demand: 100}, {region: 'large', capacity: 400, demand: 120},
	]);
});
