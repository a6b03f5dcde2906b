import {expect, test} from 'vitest';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createAdaptiveLimit} from '../adaptiveLimit.js';
import {createLinkCaps} from '../linkCap.js';
import {createEndpointHealth} from '../outlierDetection.js';
import {createReportedLoad, createMeanUse} from '../reportedLoad.js';
import {slowStartMs} from '../slowStart.js';

const startHealth = () => {
	const clock = createManualClock();
	const changes: string[] = [];
	const health = createEndpointHealth(clock.now, false, state => {
		changes.push(state);
	});
	return {clock, changes, health};
};

test.each([
	{name: 'one straggler', samples: [1, 1, 20, 1, 1], state: 'healthy'},
	{name: 'steady slowness', samples: [10, 10, 10], state: 'ejected'},
	{name: 'some delay', samples: [2, 2.5, 2, 2.5, 2, 2.5], state: 'healthy'},
])('$name leaves an endpoint $state', ({samples, state}) => {
	const {health} = startHealth();
	for (const sample of samples) {
		health.recordAnswer(sample);
	}

	expect(health.state()).toBe(state);
});

test('slowness that hedges cut short is seen', () => {
	const {health} = startHealth();
	for (let index = 0; index < 4; index += 1) {
		health.recordUnanswered(3);
	}

	expect(health.state()).toBe('ejected');
});

test('probes come at intervals that double, and good ones bring a slow start', () => {
	const {clock, changes, health} = startHealth();
	for (let index = 0; index < 10; index += 1) {
		health.recordFailure();
	}

	expect(health.reason()).toBe('failing');
	expect(health.probeIsDue()).toBe(false);
	clock.advance(20_000);
	expect(health.probeIsDue()).toBe(true);
	for (let index = 0; index < 6; index += 1) {
		health.recordAnswer(1);
	}

	expect(changes).toStrictEqual(['ejected', 'healthy']);
	expect(health.share()).toBeLessThan(0.2);
	clock.advance(slowStartMs);
	expect(health.share()).toBe(1);
});

test('an endpoint that cannot be reached is ejected at once and back when its report comes', () => {
	const {health} = startHealth();
	health.recordUnreachable();
	expect(health.state()).toBe('ejected');
	health.recordReachable();
	expect(health.state()).toBe('healthy');
});

test('a limit falls with refusals, once for each burst, and comes back to the slots', () => {
	const clock = createManualClock();
	const limit = createAdaptiveLimit(clock.now, 4);
	for (let index = 0; index < 10; index += 1) {
		limit.recordRefusal();
	}

	expect(limit.current()).toBe(3);
	for (let index = 0; index < 20; index += 1) {
		limit.recordAnswer(1, 3);
	}

	expect(limit.current()).toBe(4);
});

test('a limit of unknown slots grows while it is in use and stays bounded', () => {
	const limit = createAdaptiveLimit(createManualClock().now, 0);
	for (let index = 0; index < 10_000; index += 1) {
		limit.recordAnswer(1, limit.current());
	}

	expect(limit.current()).toBe(64);
});

test('a report is believed less as it ages, and an old one does not replace a newer', () => {
	const clock = createManualClock(1000);
	const load = createReportedLoad(clock.now, createMeanUse());
	const report = {state: 'serving', slots: 4, queued: 0} as const;
	load.observe({...report, inUse: 3}, 1000, 1);
	load.observe({...report, inUse: 0}, 900, 0);
	expect(load.others(4)).toBeCloseTo(2);
	clock.advance(10_000);
	expect(load.others(4)).toBeCloseTo(4);
});

test('an entry has its even part of a link in each direction', () => {
	const clock = createManualClock();
	const caps = createLinkCaps(clock.now, 'north');
	caps.configure([{between: ['south', 'north'], megabitsPerSecond: 80}], () => 4);
	const partPerSecond = 80 * 125_000 / 8;
	expect(caps.mayUse('south')).toBe(true);
	caps.count('south', 0, partPerSecond * 1.5);
	expect(caps.mayUse('south')).toBe(false);
	clock.advance(1100);
	expect(caps.mayUse('south')).toBe(true);
	caps.count('south', partPerSecond * 2, 0);
	expect(caps.mayUse('south')).toBe(false);
	expect(caps.mayUse('west')).toBe(true);
});

test('a steady endpoint with exponential service times is hardly ever taken for a slow one', () => {
	const random = createRandom(21);
	const {health, changes} = startHealth();
	for (let index = 0; index < 20_000; index += 1) {
		health.recordAnswer(-Math.log(1 - random()) / Math.LN2);
	}

	expect(changes.filter(state => state === 'ejected').length).toBeLessThan(20);
});
