/**
 * Model checker: runs a scenario once for each possible sequence of choices.
 */

/**
 * Chooses one of the labelled options and returns its index. `undefined` ends the run, because a
 * state with this key was explored before. Equal keys must stand for equal states.
 */
export type Choose = (labels: readonly string[], stateKey: string) => number | undefined;

/** Result of an exploration. */
export type Exploration = {
	readonly runs: number;
	readonly states: number;
	/** The first run that violated an invariant: the labels of its choices and the invariant. */
	readonly failure: {readonly trace: readonly string[]; readonly violation: string} | undefined;
};

type Choice = {
	readonly chosen: number;
	readonly options: number;
};

/**
 * Explores depth first. Each run repeats the choices of the previous run up to the one that changes.
 *
 * @param scenario - Deterministic except for its choices; returns the invariant that it violated, or `undefined`.
 * @returns Number of runs and the first failure.
 */
export const exploreChoices = async (scenario: (choose: Choose) => Promise<string | undefined>): Promise<Exploration> => {
	const explored = new Set<string>();

	const runOnce = async (path: readonly Choice[]) => {
		const trace: string[] = [];
		const choices: Choice[] = [];
		const violation = await scenario((labels, stateKey) => {
			const isRepeated = choices.length < path.length;
			if (!isRepeated && explored.has(stateKey)) {
				return undefined;
			}

			explored.add(stateKey);
			const chosen = path[choices.length]?.chosen ?? 0;
			choices.push({chosen, options: labels.length});
			trace.push(labels[chosen]!);
			return chosen;
		});
		return {trace, choices, violation};
	};

	let path: Choice[] = [];
	for (let runs = 1; ; runs += 1) {
		const {trace, choices, violation} = await runOnce(path); // eslint-disable-line no-await-in-loop -- each run depends on the previous one
		if (violation !== undefined) {
			return {runs, states: explored.size, failure: {trace, violation}};
		}

		const last = choices.findLastIndex(({chosen, options}) => chosen + 1 < options);
		if (last === -1) {
			return {runs, states: explored.size, failure: undefined};
		}

		path = [...choices.slice(0, last), {...choices[last]!, chosen: choices[last]!.chosen + 1}];
	}
};
