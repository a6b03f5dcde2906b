import {createManualClock} from '@filbertwell/utils/clock';
import {describe, expect, test} from 'vitest';
import {trackEndpoint} from '../trackedEndpoint.js';
import {registered, sampleEndpoint} from './dispatchFixture.js';

const tracked = () => {
	const clock = createManualClock(1000);
	return {clock, endpoint: trackEndpoint(clock.now, registered(sampleEndpoint('e')))};
};

describe('usual load of an endpoint', () => {
	test('is known for some seconds without reports, so that a gateway that rarely asks a full endpoint prefers another', () => {
		const {clock, endpoint} = tracked();
		for (let report = 0; report < 20; report++) {
			endpoint.reportLoad({
				running: 4, waiting: 4, slots: 4, slowdown: 1,
			});
			clock.advance(2000);
		}

		expect(endpoint.usualLoad()).toBeGreaterThan(4);
		expect(endpoint.load()).toBeLessThan(4);
		clock.advance(60_000);
		expect(endpoint.usualLoad()).toBeLessThan(0.1);
	});

	test('follows a different report at once and then returns to the usual value', () => {
		const {clock, endpoint} = tracked();
		const report = (running: number) => {
			endpoint.reportLoad({
				running, waiting: 0, slots: 4, slowdown: 1,
			});
		};

		for (let count = 0; count < 20; count++) {
			report(1);
			clock.advance(500);
		}

		report(4);
		expect(endpoint.usualLoad()).toBe(4);
		clock.advance(6000);
		expect(endpoint.usualLoad()).toBeLessThan(1.5);
	});
});

describe('load of an endpoint', () => {
	test('counts the requests of this instance and the load of others from the last report', () => {
		const {clock, endpoint} = tracked();
		endpoint.start(100);
		endpoint.reportLoad({
			running: 4, waiting: 2, slots: 4, slowdown: 1,
		});
		expect(endpoint.load()).toBe(6);
		clock.advance(1500);
		expect(endpoint.load()).toBeCloseTo(1 + 2.5, 6);
	});

	test('is never below the number of requests of this instance', () => {
		const {endpoint} = tracked();
		for (let index = 0; index < 3; index++) {
			endpoint.start(100);
		}

		endpoint.reportLoad({
			running: 0, waiting: 0, slots: 4, slowdown: 1,
		});
		expect(endpoint.load()).toBe(3);
	});
});

describe('slowdown of an endpoint', () => {
	test('is measured from answers and decays without new samples', () => {
		const {clock, endpoint} = tracked();
		for (let index = 0; index < 15; index++) {
			endpoint.end(endpoint.start(100), {kind: 'answered', durationRatio: 5});
		}

		expect(endpoint.slowdown()).toBeGreaterThan(1.8);
		clock.advance(20_000);
		expect(endpoint.slowdown()).toBeLessThan(1.2);
	});

	test('is hardly affected by a single straggler', () => {
		const {endpoint} = tracked();
		endpoint.end(endpoint.start(100), {kind: 'answered', durationRatio: 7});
		expect(endpoint.slowdown()).toBeLessThan(1.2);
	});

	test('follows a report immediately and for a short time', () => {
		const {clock, endpoint} = tracked();
		endpoint.reportLoad({
			running: 0, waiting: 0, slots: 4, slowdown: 2.5,
		});
		expect(endpoint.slowdown()).toBeCloseTo(2.5, 6);
		clock.advance(2000);
		expect(endpoint.slowdown()).toBeLessThan(1.05);
	});
});

describe('failing endpoint', () => {
	test('is ejected after consecutive failures, for longer each time, and returns', () => {
		const {clock, endpoint} = tracked();
		const fail = () => {
			endpoint.end(endpoint.start(100), {kind: 'failed'});
		};

		fail();
		fail();
		expect(endpoint.isEjected()).toBe(false);
		fail();
		expect(endpoint.isEjected()).toBe(true);
		clock.advance(800);
		expect(endpoint.isEjected()).toBe(false);
		fail();
		clock.advance(800);
		expect(endpoint.isEjected()).toBe(true);
		clock.advance(5000);
		expect(endpoint.isEjected()).toBe(false);
	});

	test('is not ejected after refusals, which only raise its failure rate', () => {
		const {endpoint} = tracked();
		for (let index = 0; index < 10; index++) {
			endpoint.end(endpoint.start(100), {kind: 'refused'});
		}

		expect(endpoint.isEjected()).toBe(false);
		expect(endpoint.failureRate()).toBeGreaterThan(0.5);
	});

	test('is not ejected for stragglers while it answers other requests', () => {
		const {clock, endpoint} = tracked();
		for (let index = 0; index < 5; index++) {
			const straggler = endpoint.start(100);
			clock.advance(50);
			endpoint.end(endpoint.start(100), {kind: 'answered', durationRatio: 1});
			clock.advance(1000);
			endpoint.end(straggler, {kind: 'silent'});
		}

		expect(endpoint.isEjected()).toBe(false);
	});

	test('returns how long its oldest request is overdue until it answers another one', () => {
		const {clock, endpoint} = tracked();
		const unanswered = endpoint.start(100);
		clock.advance(1000);
		expect(endpoint.overdueMs()).toBeCloseTo(750, 6);
		endpoint.end(endpoint.start(100), {kind: 'answered', durationRatio: undefined});
		expect(endpoint.overdueMs()).toBe(0);
		endpoint.end(unanswered, {kind: 'abandoned'});
	});
});
