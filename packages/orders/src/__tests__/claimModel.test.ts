import {expect, test} from 'vitest';
import {runClaimModel, type ClaimScenario} from './claimModel.js';
import {exploreChoices} from './exploreChoices.js';

const sound: ClaimScenario = {
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

const unnumbered: ClaimScenario['attempts'] = [
	{attempt: undefined, claimOutage: 'refuse', remainingMs: 5000},
	{attempt: undefined, claimOutage: 'refuse', remainingMs: 5000},
];

const firstUnclaimed: ClaimScenario['attempts'] = [
	{attempt: 1, claimOutage: 'firstAttempt', remainingMs: 5000},
	{attempt: 2, claimOutage: 'firstAttempt', remainingMs: 5000},
];

const explore = async (scenario: ClaimScenario, sought?: string) => exploreChoices(async choose => {
	const broken = await runClaimModel(scenario, choose);
	return sought === undefined || broken === sought ? broken : undefined;
});

test.each([
	{name: 'two faults', scenario: {...sound, faults: 2}},
	{name: 'a fault and a long pause', scenario: {...sound, pauses: 1}},
	{
		name: 'a long pause between claim and dispatch, in which rows may be removed', scenario: {
			...sound, faults: 0, pauses: 1, retention: true, holdReplies: true,
		},
	},
	{name: 'unclaimed first attempts and two faults', scenario: {...sound, attempts: firstUnclaimed, faults: 2}},
	{
		name: 'a resend without a number after the deadline', scenario: {
			...sound, attempts: unnumbered, pauses: 1, secondAfterPause: true,
		},
	},
])('at most one run, and none behind a refusal: $name', async ({scenario}) => {
	const {runs, states, failure} = await explore(scenario);
	expect(failure).toBeUndefined();
	expect(states).toBeGreaterThan(100);
	console.log(`${runs} runs, ${states} states`);
}, explorationTimeoutMs);

const unbounded = {dispatchBoundMs: Number.POSITIVE_INFINITY};
const withoutDeadline = (attempts: ClaimScenario['attempts']) => attempts.map(attempt => ({...attempt, remainingMs: Number.POSITIVE_INFINITY}));

test.each([
	{
		name: 'the bound on dispatch: a claim outlives its row',
		scenario: {
			...sound, faults: 0, pauses: 1, retention: true, holdReplies: true, limits: unbounded, attempts: withoutDeadline(sound.attempts),
		},
		broken: 'ran 2 times',
	},
	{
		name: 'the bound on dispatch: an attempt outlives its deadline',
		scenario: {
			...sound, pauses: 1, secondAfterPause: true, limits: unbounded, attempts: withoutDeadline(unnumbered),
		},
		broken: 'B was refused as not run, and the request ran',
	},
	{
		name: 'the unique token',
		scenario: {...sound, createToken: () => 'same'},
		broken: 'ran 2 times',
	},
	{
		name: 'the order of attempts',
		scenario: {...sound, attempts: unnumbered},
		broken: 'B was refused as not run, and the request ran',
	},
])('the model fails without $name', async ({scenario, broken}) => {
	const {failure} = await explore(scenario, broken);
	expect(failure?.broken).toBe(broken);
}, explorationTimeoutMs);
