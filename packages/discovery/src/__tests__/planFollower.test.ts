import {silentLogger} from '@filbertwell/logger/logger';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import {err, ok} from 'neverthrow';
import {describe, expect, test} from 'vitest';
import {createPlanFollower, type DecodeOperatorRow} from '../planFollower.js';

const plan = (version: number): TrafficPlan => ({
	version,
	routes: [],
	services: new Map(),
	limits: {
		maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	unknownRouteKinds: [],
});

const decode: DecodeOperatorRow = ({key, value}) => {
	if (key.startsWith('zone/')) {
		return ok({kind: 'evacuation', availabilityZone: key.slice('zone/'.length)});
	}

	const version = Number(value);
	return Number.isNaN(version) ? err('no plan') : ok({kind: 'plan', plan: plan(version)});
};

describe('the plan in force', () => {
	test('is undefined before the first plan', () => {
		expect(createPlanFollower(decode, silentLogger).plan()).toBeUndefined();
	});

	test('is not replaced by an older version', () => {
		const follower = createPlanFollower(decode, silentLogger);
		follower.apply([{key: 'plan', value: '12'}, {key: 'plan', value: '7'}]);
		expect(follower.plan()?.version).toBe(12);
	});

	test('is accepted with routes of unknown kinds, which are logged once for the version', () => {
		const logged: string[] = [];
		const follower = createPlanFollower(() => ok({kind: 'plan', plan: {...plan(3), unknownRouteKinds: ['stream']}}), event => {
			logged.push(event.name);
		});
		follower.apply([{key: 'plan', value: '3'}, {key: 'plan', value: '3'}]);
		expect(follower.plan()?.version).toBe(3);
		expect(logged.filter(name => name === 'routeKindUnknown')).toHaveLength(1);
	});

	test('is not replaced if a row is invalid', () => {
		const follower = createPlanFollower(decode, silentLogger);
		follower.apply([{key: 'plan', value: '12'}, {key: 'plan', value: 'spoiled'}]);
		expect(follower.plan()?.version).toBe(12);
	});
});

describe('an evacuation', () => {
	test('starts with its row and ends with the removal of the row', () => {
		const follower = createPlanFollower(decode, silentLogger);
		follower.apply([{key: 'zone/south-a', value: '{}'}]);
		expect([...follower.evacuatedZones()]).toEqual(['south-a']);
		follower.apply([{key: 'zone/south-a', value: undefined}]);
		expect([...follower.evacuatedZones()]).toEqual([]);
	});
});
