import {expect, test} from 'vitest';
import {runClaimModel, type ClaimScenario} from './claimModel.js';
import {exploreChoices} from './exploreChoices.js';

const baseScenario: ClaimScenario = {
	attempts: [
		{attempt: 1, claimOutage: 'refuse', remainingMs: 5000},
		{attempt: 2, claimOutage: 'refuse', remainingMs: 5000},
	],
	faults: 1,
	pauses: 0,
	secondAfterPause: false,
	holdReplies: false,
	retention: false,
	limits: {},
	createToken: claimer => claimer,
};

const explorationTimeoutMs = 240_000;

const attemptsWithoutNumber: ClaimScenario['attempts'] = [
	{attempt: undefined, claimOutage: 'refuse', remainingMs: 5000},
	{attempt: undefined, claimOutage: 'refuse', remainingMs: 5000},
];

const unclaimedFirstAttempts: ClaimScenario['attempts'] = [
	{attempt: 1, claimOutage: 'firstAttempt', remainingMs: 5000},
	{attempt: 2, claimOutage: 'firstAttempt', remainingMs: 5000},
];

const explore = async (scenario: ClaimScenario, expectedViolation?: string) => exploreChoices(async choose => {
	const violation = await runClaimModel(scenario, choose);
	return expectedViolation === undefined || violation === expectedViolation ? violation : undefined;
});

test.each([
	{name: 'two faults', scenario: {...baseScenario, faults: 2}},
	{name: 'a fault and a long pause', scenario: {...baseScenario, pauses: 1}},
	{
		name: 'a long pause between claim and dispatch, during which rows may be removed', scenario: {
			...baseScenario, faults: 0, pauses: 1, retention: true, holdReplies: true,
		},
	},
	{name: 'first attempts without a claim and two faults', scenario: {...baseScenario, attempts: unclaimedFirstAttempts, faults: 2}},
	{
		name: 'a resend without a number after the deadline', scenario: {
			...baseScenario, attempts: attemptsWithoutNumber, pauses: 1, secondAfterPause: true,
		},
	},
])('the request runs at most once, and never if it was answered not-run: $name', async ({scenario}) => {
	const {runs, states, failure} = await explore(scenario);
	expect(failure).toBeUndefined();
	expect(states).toBeGreaterThan(100);
	console.log(`${runs} runs, ${states} states`);
}, explorationTimeoutMs);

const withoutDispatchLimit = {dispatchBoundMs: Number.POSITIVE_INFINITY};
const withoutDeadline = (attempts: ClaimScenario['attempts']) => attempts.map(attempt => ({...attempt, remainingMs: Number.POSITIVE_INFINITY}));

test.each([
	{
		name: 'the time limit for the dispatch: a claim outlives its row',
		scenario: {
			...baseScenario, faults: 0, pauses: 1, retention: true, holdReplies: true, limits: withoutDispatchLimit, attempts: withoutDeadline(baseScenario.attempts),
		},
		violation: 'ran 2 times',
	},
	{
		name: 'the time limit for the dispatch: an attempt outlives its deadline',
		scenario: {
			...baseScenario, pauses: 1, secondAfterPause: true, limits: withoutDispatchLimit, attempts: withoutDeadline(attemptsWithoutNumber),
		},
		violation: 'B was answered not-run, but the request ran',
	},
	{
		name: 'unique tokens',
		scenario: {...baseScenario, createToken: () => 'same'},
		violation: 'ran 2 times',
	},
	{
		name: 'numbered attempts',
		scenario: {...baseScenario, attempts: attemptsWithoutNumber},
		violation: 'B was answered not-run, but the request ran',
	},
])('the model finds a violation without $name', async ({scenario, violation}) => {
	const {failure} = await explore(scenario, violation);
	expect(failure?.violation).toBe(violation);
}, explorationTimeoutMs);
