import fc from 'fast-check';
import {expect, test} from 'vitest';
import {silentLogger} from '@filbertwell/logger/logger';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Drain, Intent, Shift} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {createManualClock} from '@filbertwell/utils/clock';
import {createSteering, type SteeringController} from '../createSteering.js';

const regionNames = ['north', 'south', 'east'];
const regions = regionNames.map(name => ({name, availabilityZones: [`${name}-a`, `${name}-b`]}));
const sharePerMinute = 1.2;
const stepMs = 250;
const windowSteps = 20;
const capOfWindow = sharePerMinute * windowSteps * stepMs / 60_000;

type DrainsAndShifts = {readonly drains: readonly Drain[]; readonly shifts: readonly Shift[]};

const createConfiguration = (version: number, {drains, shifts}: DrainsAndShifts): Configuration => {
	const intent: Intent = {
		deployment: 'test',
		regions,
		services: [{
			name: 'browse',
			pathPrefix: '/browse',
			hosts: [],
			endpoints: regions.flatMap(({availabilityZones}) => availabilityZones.map((availabilityZone, index) => ({
				id: availabilityZone, host: '127.0.0.1', port: index + 1, availabilityZone, slots: 3 + index,
			}))),
			routes: [],
			maximumBodyBytes: 1,
		}],
		regionShares: [],
		linkCaps: [],
		shiftCaps: {plannedSharePerMinute: sharePerMinute, failoverSharePerMinute: sharePerMinute},
		drains,
		shifts,
		sites: [],
		sitePreferences: [],
		clientBlocks: [],
		lookups: {lifetimeSeconds: 1, addresses: 1, defaultPreference: ''},
		tenants: [],
	};
	return {
		version, changeId: String(version), author: 'test', acceptedAt: '', intent,
	};
};

const member = (region: string, requestsPerSecond: number): Member => ({
	id: region,
	role: 'entry',
	incarnation: 1,
	region,
	availabilityZone: `${region}-a`,
	site: `${region}-a`,
	callerAddress: {host: '127.0.0.1', port: 1},
	peerAddress: {host: '127.0.0.1', port: 2},
	state: 'serving',
	health: 'alive',
	configurationVersion: 1,
	load: {inFlight: 0, queued: 0, requestsPerSecond},
});

type RegionShares = ReadonlyMap<string, number>;

const regionSharesOf = (steering: SteeringController, region: string): RegionShares => {
	const split = steering.splits().find(candidate => candidate.region === region)!;
	return new Map(regionNames.map(name => [name, split.shares
		.filter(({availabilityZone}) => availabilityZone.startsWith(name))
		.reduce((sum, {share}) => sum + share, 0)]));
};

const meanOf = (parts: readonly RegionShares[]): RegionShares => new Map(regionNames.map(name => [
	name, parts.reduce((sum, part) => sum + part.get(name)!, 0) / parts.length,
]));

const movedBetween = (before: RegionShares, after: RegionShares): number => regionNames
	.reduce((sum, name) => sum + Math.max(0, after.get(name)! - before.get(name)!), 0);

const largestMove = (history: readonly RegionShares[]): number => Math.max(0, ...history
	.slice(windowSteps)
	.map((after, index) => movedBetween(history[index]!, after)));

/** Creates entries of one region that share a manual clock. */
const createEntries = (count: number) => {
	const clock = createManualClock();
	let members = regionNames.map(name => member(name, 30));
	let configuration = createConfiguration(1, {drains: [], shifts: []});
	const history: RegionShares[] = [];

	const start = (peer: SteeringController | undefined): SteeringController => {
		const steering = createSteering({
			region: 'south', clock: clock.now, log: silentLogger, members: () => members, peerSplits: peer?.splits() ?? [],
		});
		steering.configure(configuration);
		return steering;
	};

	const entries = Array.from({length: count}, () => start(undefined));

	/** Advances all entries except a paused one. Its callers use the other entries during the pause. */
	const run = (steps: number, paused?: number) => {
		for (let step = 0; step < steps; step += 1) {
			clock.advance(stepMs);
			const serving = entries.filter((_, index) => index !== paused);
			for (const entry of serving) {
				entry.step();
			}

			history.push(meanOf(serving.map(entry => regionSharesOf(entry, 'south'))));
		}
	};

	return {
		entries,
		run,
		history,
		setDrainsAndShifts(drainsAndShifts: DrainsAndShifts) {
			configuration = createConfiguration(configuration.version + 1, drainsAndShifts);
			for (const entry of entries) {
				entry.configure(configuration);
			}
		},
		setRequestRates(rates: readonly number[]) {
			members = regionNames.map((name, index) => member(name, rates[index]!));
		},
		observe(headroom: number, zone: string) {
			for (const entry of entries) {
				entry.observe([{
					service: 'browse', availabilityZone: zone, headroom, failed: false, latencyRatio: 1,
				}]);
			}
		},
		/** Pauses an entry; after a long pause it adopts the splits of a peer. */
		pause(index: number, steps: number) {
			run(steps, index);
			const missedMs = entries[index]!.step();
			if (missedMs > 2000 && entries.length > 1) {
				entries[index]!.adopt(entries[(index + 1) % entries.length]!.splits());
			}
		},
		restart(index: number) {
			entries[index] = start(entries[(index + 1) % entries.length]);
		},
		advance: clock.advance,
	};
};

type Entries = ReturnType<typeof createEntries>;
type Action = (entries: Entries) => void;

const drainArbitrary = fc.constantFrom(...regionNames.map((name): Drain => ({
	target: 'region', name, pace: 'capped', reason: 'test',
})));
const shiftArbitrary = fc.record({service: fc.constant('browse'), region: fc.constantFrom(...regionNames), share: fc.double({min: 0, max: 1, noNaN: true})});

const actionArbitrary = (count: number): fc.Arbitrary<Action> => {
	const index = fc.nat(count - 1);
	return fc.oneof(
		fc.integer({min: 1, max: 80}).map((steps): Action => entries => {
			entries.run(steps);
		}),
		fc.record({drains: fc.array(drainArbitrary, {maxLength: 2}), shifts: fc.array(shiftArbitrary, {maxLength: 2})}).map((drainsAndShifts): Action => entries => {
			entries.setDrainsAndShifts(drainsAndShifts);
		}),
		fc.array(fc.integer({min: 0, max: 500}), {minLength: 3, maxLength: 3}).map((rates): Action => entries => {
			entries.setRequestRates(rates);
		}),
		fc.tuple(fc.double({min: 0, max: 1, noNaN: true}), fc.constantFrom('north-a', 'east-b', 'south-a')).map(([headroom, zone]): Action => entries => {
			entries.observe(headroom, zone);
		}),
		index.map((chosen): Action => entries => {
			entries.restart(chosen);
		}),
		fc.tuple(index, fc.oneof(fc.integer({min: 1, max: 2}), fc.integer({min: 12, max: 400}))).map(([chosen, steps]): Action => entries => {
			if (count > 1) {
				entries.pause(chosen, steps);
			} else {
				entries.advance(steps * stepMs);
			}
		}),
	);
};

test.each([1, 3])('%i entries move at most the cap in any window, under any drains, shifts, pauses and restarts', count => {
	fc.assert(fc.property(fc.array(actionArbitrary(count), {minLength: 1, maxLength: 25}), actions => {
		const entries = createEntries(count);
		entries.run(windowSteps);
		for (const action of actions) {
			action(entries);
			entries.run(1);
		}

		expect(largestMove(entries.history)).toBeLessThanOrEqual(capOfWindow + 1e-9);
	}), {seed: 31, numRuns: 150});
});

test('after a long pause an entry adopts the split of a peer, so that the traffic of its callers does not move back', () => {
	const entries = createEntries(2);
	entries.setDrainsAndShifts({
		drains: [{
			target: 'region', name: 'south', pace: 'capped', reason: 'test',
		}], shifts: [],
	});
	entries.pause(0, 120);
	const [resumed, peer] = entries.entries.map(entry => regionSharesOf(entry, 'south').get('south')!);
	expect(peer).toBeLessThan(0.6);
	expect(resumed).toBeCloseTo(peer!, 1);
});
