import {expect, test} from 'vitest';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createAdaptiveLimit} from '../adaptiveLimit.js';
import {createLinkCaps} from '../linkCap.js';
import {createEndpointHealth} from '../outlierDetection.js';
import {createReportedLoad, createMeanUtilization} from '../reportedLoad.js';
import {slowStartMs} from '../slowStart.js';

const createTestHealth = () => {
	const clock = createManualClock();
	const changes: string[] = [];
	const health = createEndpointHealth(clock.now, false, state => {
		changes.push(state);
	});
	return {clock, changes, health};
};

test.each([
	{name: 'one slow answer', samples: [1, 1, 20, 1, 1], state: 'healthy'},
	{name: 'constant slowness', samples: [10, 10, 10], state: 'ejected'},
	{name: 'moderate slowness', samples: [2, 2.5, 2, 2.5, 2, 2.5], state: 'healthy'},
])('$name leaves an endpoint $state', ({samples, state}) => {
	const {health} = createTestHealth();
	for (const sample of samples) {
		health.recordAnswer(sample);
	}

	expect(health.state()).toBe(state);
});

test('detects slowness from attempts that hedges cancelled', () => {
	const {health} = createTestHealth();
	for (let index = 0; index < 4; index += 1) {
		health.recordUnanswered(3);
	}

	expect(health.state()).toBe('ejected');
});

test('delays the probe of an ejected endpoint, and good answers readmit it in a slow start', () => {
	const {clock, changes, health} = createTestHealth();
	for (let index = 0; index < 10; index += 1) {
		health.recordFailure();
	}

	expect(health.reason()).toBe('failing');
	expect(health.isProbeDue()).toBe(false);
	clock.advance(20_000);
	expect(health.isProbeDue()).toBe(true);
	for (let index = 0; index < 6; index += 1) {
		health.recordAnswer(1);
	}

	expect(changes).toStrictEqual(['ejected', 'healthy']);
	expect(health.slowStartFactor()).toBeLessThan(0.2);
	clock.advance(slowStartMs);
	expect(health.slowStartFactor()).toBe(1);
});

test('ejects an unreachable endpoint at once and readmits it when its load report arrives', () => {
	const {health} = createTestHealth();
	health.recordUnreachable();
	expect(health.state()).toBe('ejected');
	health.recordReachable();
	expect(health.state()).toBe('healthy');
});

test('a limit decreases once for a burst of refusals and increases back to the number of slots', () => {
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

test('a limit without a known number of slots increases while it is fully used, up to its bound', () => {
	const limit = createAdaptiveLimit(createManualClock().now, 0);
	for (let index = 0; index < 10_000; index += 1) {
		limit.recordAnswer(1, limit.current());
	}

	expect(limit.current()).toBe(64);
});

test('the weight of a report decays with its age, and an older report does not replace a newer one', () => {
	const clock = createManualClock(1000);
	const load = createReportedLoad(clock.now, createMeanUtilization());
	const report = {state: 'serving', slots: 4, queued: 0} as const;
	load.observe({...report, inUse: 3}, 1000, 1);
	load.observe({...report, inUse: 0}, 900, 0);
	expect(load.otherInFlight(4)).toBeCloseTo(2);
	clock.advance(10_000);
	expect(load.otherInFlight(4)).toBeCloseTo(4);
});

test('limits an entry to its equal share of a link cap in each direction', () => {
	const clock = createManualClock();
	const caps = createLinkCaps(clock.now, 'north');
	caps.configure([{between: ['south', 'north'], megabitsPerSecond: 80}], () => 4);
	const bytesPerSecond = 80 * 125_000 / 8;
	expect(caps.allowsRequests('south')).toBe(true);
	caps.recordBytes('south', 0, bytesPerSecond * 1.5);
	expect(caps.allowsRequests('south')).toBe(false);
	clock.advance(1100);
	expect(caps.allowsRequests('south')).toBe(true);
	caps.recordBytes('south', bytesPerSecond * 2, 0);
	expect(caps.allowsRequests('south')).toBe(false);
	expect(caps.allowsRequests('west')).toBe(true);
});

test('rarely ejects a healthy endpoint with exponentially distributed times', () => {
	const random = createRandom(21);
	const {health, changes} = createTestHealth();
	for (let index = 0; index < 20_000; index += 1) {
		health.recordAnswer(-Math.log(1 - random()) / Math.LN2);
	}

	expect(changes.filter(state => state === 'ejected').length).toBeLessThan(20);
});
