import {expect, test} from 'vitest';
import type {AttemptOutcome, RequestOutcome, RequestRecord} from '../callerRecord.js';
import {checkPromises, mergeLedgers, type PromiseCheck} from '../checkPromises.js';

const record = (outcome: RequestOutcome, attempts: readonly AttemptOutcome[], changes: Partial<RequestRecord> = {}): RequestRecord => ({
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
	askable: outcome === 'in-doubt' ? true : undefined,
	attempts: attempts.map((attempt, index) => ({
		requestId: `r-${index + 1}`, address: 'a', outcome: attempt, status: undefined, bytes: 0, detail: '',
	})),
	...changes,
});

const kept = {
	lost: 0, doubled: 0, cutOff: 0, notRunButRan: 0, foreign: 0, inDoubtUnasked: 0,
};

const cases: ReadonlyArray<{readonly name: string; readonly record: RequestRecord; readonly runs: Readonly<Record<string, number>>; readonly broken: Partial<PromiseCheck>}> = [
	{
		name: 'answered and ran once', record: record('answered', ['lost', 'replayed']), runs: {'r-1': 1}, broken: {},
	},
	{
		name: 'answered without a run', record: record('answered', ['answered']), runs: {}, broken: {lost: 1},
	},
	{
		name: 'no answer', record: record('no-answer', ['lost', 'lost']), runs: {}, broken: {lost: 1},
	},
	{
		name: 'ran twice', record: record('answered', ['lost', 'answered']), runs: {'r-1': 1, 'r-2': 1}, broken: {doubled: 1},
	},
	{
		name: 'refused after it ran', record: record('not-run', ['not-run']), runs: {'r-1': 1}, broken: {notRunButRan: 1},
	},
	{
		name: 'a resend refused after an earlier attempt ran', record: record('not-run', ['lost', 'not-run']), runs: {'r-1': 1}, broken: {notRunButRan: 1},
	},
	{
		name: 'refused, then resent and run', record: record('answered', ['not-run', 'answered']), runs: {'r-2': 1}, broken: {},
	},
	{
		name: 'reads answer for each attempt alone', record: record('answered', ['lost', 'not-run', 'answered'], {key: undefined}), runs: {'r-1': 1, 'r-3': 1}, broken: {},
	},
	{
		name: 'cut off', record: record('answered', ['cut-off', 'replayed']), runs: {'r-1': 1}, broken: {cutOff: 1},
	},
	{
		name: 'in doubt with a place to ask', record: record('in-doubt', ['in-doubt']), runs: {}, broken: {},
	},
	{
		name: 'in doubt with nobody to ask', record: record('in-doubt', ['in-doubt'], {askable: false}), runs: {}, broken: {inDoubtUnasked: 1},
	},
	{
		name: 'an answer to another request', record: record('answered', ['foreign', 'replayed']), runs: {'r-1': 1}, broken: {foreign: 1},
	},
];

test.each(cases)('$name', ({record: one, runs, broken}) => {
	const ledger = {runsByRequestId: runs, runsByKey: {'key-r': Object.keys(runs).length}};
	expect(checkPromises([one], ledger)).toMatchObject({...kept, ...broken});
});

test('ledgers of several processes add up', () => {
	const merged = mergeLedgers([
		{runsByKey: {k: 1}, runsByRequestId: {a: 1}},
		{runsByKey: {k: 1}, runsByRequestId: {b: 1}},
	]);
	expect(merged).toEqual({runsByKey: {k: 2}, runsByRequestId: {a: 1, b: 1}});
});
