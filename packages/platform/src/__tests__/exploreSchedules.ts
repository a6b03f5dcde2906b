/**
 * Runs a concurrent scenario under every order of its steps.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** What a scenario uses to leave choices to the exploration. */
export type Schedule = {
	/** Waits until the exploration lets this step happen. */
	readonly step: () => Promise<void>;
	/** Chooses a number from 0 up to `count`, exclusive. */
	readonly choose: (count: number) => number;
};

type Choice = {
	readonly count: number;
	taken: number;
};

const maximumIdleTurns = 10_000;

const nextChoices = (choices: readonly Choice[]): Choice[] | undefined => {
	const last = choices.findLastIndex(choice => choice.taken < choice.count - 1);
	return last === -1
		? undefined
		: [...choices.slice(0, last), {...choices[last]!, taken: choices[last]!.taken + 1}];
};

const runOnce = async (planned: readonly Choice[], scenario: (schedule: Schedule) => Promise<void>): Promise<Choice[]> => {
	const choices: Choice[] = [];
	const choose = (count: number): number => {
		const choice = {count, taken: planned[choices.length]?.taken ?? 0};
		choices.push(choice);
		return choice.taken;
	};

	let waiting: Array<() => void> = [];
	const step = async () => new Promise<void>(resolve => {
		waiting.push(resolve);
	});
	const progress = {done: false};
	const finish = async () => {
		try {
			await scenario({step, choose});
		} finally {
			progress.done = true;
		}
	};

	const finished = Promise.allSettled([finish()]);
	let idleTurns = 0;
	while (!progress.done) {
		// All that can run without a step has run when the next turn comes.
		await nextTurn(); // eslint-disable-line no-await-in-loop
		idleTurns += 1;
		if (idleTurns > maximumIdleTurns) {
			throw new Error('the scenario waits for something other than a step');
		}

		if (waiting.length > 0) {
			idleTurns = 0;
			const taken = choose(waiting.length);
			const resume = waiting[taken]!;
			waiting = waiting.filter(other => other !== resume);
			resume();
		}
	}

	const [outcome] = await finished;
	if (outcome.status === 'rejected') {
		throw outcome.reason as Error;
	}

	return choices;
};

/**
 * Runs a scenario once for each sequence of choices, in lexical order.
 *
 * @param scenario - Runs on memory only, waits only for steps, and throws where a property fails.
 * @param maximumRuns - Runs after which the exploration gives up.
 * @returns Number of runs; equal to `maximumRuns` if not all orders were run.
 */
export const exploreSchedules = async (scenario: (schedule: Schedule) => Promise<void>, maximumRuns: number): Promise<number> => {
	let planned: Choice[] | undefined = [];
	let runs = 0;
	while (planned !== undefined && runs < maximumRuns) {
		const choices: Choice[] = await runOnce(planned, scenario); // eslint-disable-line no-await-in-loop
		planned = nextChoices(choices);
		runs += 1;
	}

	return runs;
};
