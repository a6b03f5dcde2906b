/**
 * A service under high load whose endpoints keep few keys warm: 14 endpoints that keep the last 16 keys warm, 72 keys,
 * and 8 instances.
 */
import {describe, expect, test} from 'vitest';
import {simulateService} from './serviceSimulation.js';

const simulate = (requestsPerSecond: number, seconds: number) => simulateService({
	instanceCount: 8,
	endpointCount: 14,
	keyCount: 72,
	warmKeysPerEndpoint: 16,
	warmMs: 225,
	coldMs: 750,
	latencyTargetMs: 600,
	timeoutMs: 1200,
	requestsPerSecond,
	seconds,
	uncountedSeconds: 5,
});

describe('service under high load whose endpoints keep few keys warm', () => {
	test('keeps keys at their affinity endpoints at low load', () => {
		const {inTime, cold, refused} = simulate(40, 30);
		expect(cold).toBeLessThan(0.2);
		expect(inTime).toBeGreaterThan(0.8);
		expect(refused).toBe(0);
	});

	test('does not fill its slots with cold requests at 60% of its warm capacity', () => {
		const {inTime, cold} = simulate(150, 30);
		expect(cold).toBeLessThan(0.2);
		expect(inTime).toBeGreaterThan(0.75);
	});

	test('refuses excess requests and answers the others in time at 1.4 times its warm capacity', () => {
		const {inTime, late, refused} = simulate(350, 30);
		expect(inTime).toBeGreaterThan(0.35);
		expect(refused).toBeGreaterThan(0.1);
		expect(late).toBeLessThan(0.3);
	});
});
