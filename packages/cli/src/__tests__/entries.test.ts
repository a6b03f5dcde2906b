import type {Explanation} from '@filbertwell/types/entryState';
import type {ShiftProgress} from '@filbertwell/types/split';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {summarizeShifts} from '../shiftSummary.js';
import {
	createCliFixture, createMember, createEntryState, type CliFixture,
} from './cliFixture.js';

const progress: ShiftProgress = {
	service: 'orders',
	current: [{availabilityZone: 'south-a', share: 0.4}, {availabilityZone: 'north-a', share: 0.6}],
	target: [{availabilityZone: 'south-a', share: 0}, {availabilityZone: 'north-a', share: 1}],
	remaining: 0.4,
	heldBy: 'headroom',
	secondsLeft: 120,
};

const explanation: Explanation = {
	entry: 'entry-1',
	configurationVersion: 4,
	steps: [
		{decision: 'clientBlock', choice: '127.1.0.0/16', reason: 'the longest block that holds the address'},
		{decision: 'endpoint', choice: 'orders-0', reason: 'most free slots'},
	],
};

describe('commands that query entries', () => {
	let fixture: CliFixture;

	beforeEach(async () => {
		fixture = await createCliFixture();
	});

	afterEach(async () => {
		await fixture.close();
	});

	test('status shows members, drains, and shifts with their cap, limiting reason and remaining time', async () => {
		await fixture.run(['apply', 'intent.json']);
		fixture.setAdminHandler(() => ({
			status: 200,
			body: JSON.stringify(createEntryState([createMember('entry-1', 1), createMember('entry-2', 0)], {
				drains: [{
					target: 'availabilityZone', name: 'south-a', pace: 'capped', reason: 'works',
				}],
				shiftCaps: {plannedSharePerMinute: 0.2, failoverSharePerMinute: 1},
				shifts: [progress],
			})),
		}));
		const run = await fixture.run(['status']);
		expect(run).toMatchObject({code: 0, stderr: ''});
		expect(run.stdout).toMatch(/version 1 by ana, .*in force at 1 of 2 instances/v);
		expect(run.stdout).toMatch(/zone +south-a +capped +works/v);
		expect(run.stdout).toMatch(/planned 20\.0% a minute/v);
		expect(run.stdout).toMatch(/orders +40\.0% +headroom \(1 entry\) +120 s +north-a 60\.0% -> 100\.0%, south-a 40\.0% -> 0\.0%/v);
		expect(run.stdout).not.toContain('\u001B'); // Colours are used only on a terminal.
	});

	test('status works while the platform is down', async () => {
		fixture.setAdminHandler(() => ({status: 200, body: JSON.stringify(createEntryState([createMember('entry-1', 1)]))}));
		fixture.platform.setFaults([{target: 'table', kind: 'down'}]);
		const run = await fixture.run(['status']);
		expect(run.code).toBe(0);
		expect(run.stdout).toMatch(/the accepted version is unknown/v);
		expect(run.stdout).toMatch(/entry-1/v);
	});

	test('control characters in an entry\'s response are not printed', async () => {
		fixture.setAdminHandler(() => ({status: 200, body: JSON.stringify(createEntryState([createMember('entry\u001B[2J\u0007-1', 1)]))}));
		const run = await fixture.run(['status']);
		expect(run.stdout).not.toContain('\u001B');
		expect(run.stdout).not.toContain('\u0007');
	});

	test.each([
		{
			name: 'not ready', status: 503, body: 'starting', text: /status 503: starting/v,
		},
		{
			name: 'not JSON', status: 200, body: '<html>', text: /SyntaxError/v,
		},
		{
			name: 'not a state', status: 200, body: '{"self":{}}', text: /unexpected response to \/state: self/v,
		},
	])('an entry whose response is $name is reported with the reason', async ({status, body, text}) => {
		fixture.setAdminHandler(() => ({status, body}));
		const run = await fixture.run(['status']);
		expect(run.code).toBe(4);
		expect(run.stderr).toMatch(/no entry gave a usable answer; check \[entries\] adminAddresses/v);
		expect(run.stderr).toMatch(text);
	});

	test('explain sends the request\'s parameters to an entry and shows each decision', async () => {
		let requestedPath = '';
		fixture.setAdminHandler(path => {
			requestedPath = path;
			return {status: 200, body: JSON.stringify(explanation)};
		});
		const run = await fixture.run(['explain', '--service', 'orders', '--address', '127.1.0.5', '--path', '/a b']);
		expect(requestedPath).toBe('/explain?service=orders&address=127.1.0.5&path=%2Fa+b&method=GET');
		expect(run.stdout).toMatch(/endpoint +orders-0 +most free slots/v);
	});
});

test('shifts are aggregated over entries, weighted by their request rates', () => {
	const busy = {...createMember('entry-1', 1), load: {inFlight: 0, queued: 0, requestsPerSecond: 30}};
	const states = [
		createEntryState([busy], {shifts: [{...progress, remaining: 0.1}]}),
		createEntryState([createMember('entry-2', 1)], {
			shifts: [{
				...progress, remaining: 0.5, heldBy: 'none', secondsLeft: 300,
			}],
		}),
	];
	const [summary] = summarizeShifts(states);
	expect(summary?.remaining).toBeCloseTo(0.2, 3);
	expect(summary?.secondsLeft).toBe(300);
	expect(summary?.holds).toEqual([{heldBy: 'headroom', entries: 1}, {heldBy: 'none', entries: 1}]);
	expect(summarizeShifts([createEntryState([busy], {shifts: [{...progress, remaining: 0}]})])).toEqual([]);
});
