/**
 * Runs a concurrent scenario with every possible order of its steps.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Functions through which a scenario leaves choices to the exploration. */
export type Schedule = {
	/** Waits until the exploration allows this step. */
	readonly step: () => Promise<void>;
	/** Chooses a number from 0 to `count`, exclusive. */
	readonly choose: (count: number) => number;
};

type Choice = {
	readonly count: number;
	chosen: number;
};

const maximumIdleTurns = 10_000;

const nextChoices = (choices: readonly Choice[]): Choice[] | undefined => {
	const last = choices.findLastIndex(choice => choice.chosen < choice.count - 1);
	return last === -1
		? undefined
		: [...choices.slice(0, last), {...choices[last]!, chosen: choices[last]!.chosen + 1}];
};

const runOnce = async (planned: readonly Choice[], scenario: (schedule: Schedule) => Promise<void>): Promise<Choice[]> => {
	const choices: Choice[] = [];
	const choose = (count: number): number => {
		const choice = {count, chosen: planned[choices.length]?.chosen ?? 0};
		choices.push(choice);
		return choice.chosen;
	};

	let waitingSteps: Array<() => void> = [];
	const step = async () => new Promise<void>(resolve => {
		waitingSteps.push(resolve);
	});
	const completion = {done: false};
	const finish = async () => {
		try {
			await scenario({step, choose});
		} finally {
			completion.done = true;
		}
	};

	const finished = Promise.allSettled([finish()]);
	let idleTurns = 0;
	while (!completion.done) {
		// Everything that can run without a step has run before the next turn.
		await nextTurn(); // eslint-disable-line no-await-in-loop
		idleTurns += 1;
		if (idleTurns > maximumIdleTurns) {
			throw new Error('the scenario waits for something other than a step; use only in-memory operations');
		}

		if (waitingSteps.length > 0) {
			idleTurns = 0;
			const chosen = choose(waitingSteps.length);
			const resume = waitingSteps[chosen]!;
			waitingSteps = waitingSteps.filter(other => other !== resume);
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
 * @param scenario - Works only in memory, waits only for steps, and throws if a property is violated.
 * @param maximumRuns - Number of runs after which the exploration stops.
 * @returns Number of runs; below `maximumRuns` if all orders were run.
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
