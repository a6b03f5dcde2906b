import {expect, test} from 'vitest';
import type {AttemptOutcome, RequestOutcome, RequestRecord} from '../callerRecord.js';
import {checkGuarantees, mergeLedgers, type PromiseCheck} from '../checkGuarantees.js';

const createRecord = (outcome: RequestOutcome, attempts: readonly AttemptOutcome[], overrides: Partial<RequestRecord> = {}): RequestRecord => ({
	id: 'r',
	key: 'key-r',
	service: 's',
	route: 'order',
	kind: 'atMostOnce',
	requestClass: 'critical',
	tenant: 't',
	intendedAtMs: 0,
	latencyMs: 1,
	outcome,
	status: outcome === 'answered' ? 200 : undefined,
	isStateKnown: outcome === 'in-doubt' ? true : undefined,
	attempts: attempts.map((attempt, index) => ({
		requestId: `r-${index + 1}`, address: 'a', outcome: attempt, status: undefined, bytes: 0, detail: '',
	})),
	...overrides,
});

const noViolations = {
	lost: 0, doubled: 0, cutOff: 0, notRunButRan: 0, foreign: 0, inDoubtUnasked: 0,
};

const cases: ReadonlyArray<{readonly name: string; readonly record: RequestRecord; readonly runs: Readonly<Record<string, number>>; readonly violations: Partial<PromiseCheck>}> = [
	{
		name: 'answered and ran once', record: createRecord('answered', ['lost', 'replayed']), runs: {'r-1': 1}, violations: {},
	},
	{
		name: 'answered without a run', record: createRecord('answered', ['answered']), runs: {}, violations: {lost: 1},
	},
	{
		name: 'no response', record: createRecord('no-answer', ['lost', 'lost']), runs: {}, violations: {lost: 1},
	},
	{
		name: 'ran twice', record: createRecord('answered', ['lost', 'answered']), runs: {'r-1': 1, 'r-2': 1}, violations: {doubled: 1},
	},
	{
		name: 'refused after it ran', record: createRecord('not-run', ['not-run']), runs: {'r-1': 1}, violations: {notRunButRan: 1},
	},
	{
		name: 'retry refused after an earlier attempt ran', record: createRecord('not-run', ['lost', 'not-run']), runs: {'r-1': 1}, violations: {notRunButRan: 1},
	},
	{
		name: 'refused, then retried and run', record: createRecord('answered', ['not-run', 'answered']), runs: {'r-2': 1}, violations: {},
	},
	{
		name: 'without a key a refusal covers only its own attempt', record: createRecord('answered', ['lost', 'not-run', 'answered'], {key: undefined}), runs: {'r-1': 1, 'r-3': 1}, violations: {},
	},
	{
		name: 'incomplete response', record: createRecord('answered', ['cut-off', 'replayed']), runs: {'r-1': 1}, violations: {cutOff: 1},
	},
	{
		name: 'in doubt with a known state', record: createRecord('in-doubt', ['in-doubt']), runs: {}, violations: {},
	},
	{
		name: 'in doubt with an unknown state', record: createRecord('in-doubt', ['in-doubt'], {isStateKnown: false}), runs: {}, violations: {inDoubtUnasked: 1},
	},
	{
		name: 'response to another request', record: createRecord('answered', ['foreign', 'replayed']), runs: {'r-1': 1}, violations: {foreign: 1},
	},
];

test.each(cases)('$name', ({record: requestRecord, runs, violations}) => {
	const ledger = {runsByRequestId: runs, runsByKey: {'key-r': Object.keys(runs).length}};
	expect(checkGuarantees([requestRecord], ledger)).toMatchObject({...noViolations, ...violations});
});

test('the counts of several ledgers are added', () => {
	const merged = mergeLedgers([
		{runsByKey: {k: 1}, runsByRequestId: {a: 1}},
		{runsByKey: {k: 1}, runsByRequestId: {b: 1}},
	]);
	expect(merged).toEqual({runsByKey: {k: 2}, runsByRequestId: {a: 1, b: 1}});
});
