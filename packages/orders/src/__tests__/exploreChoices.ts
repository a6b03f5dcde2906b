/**
 * Runs a scenario once for each sequence of choices that it can make.
 */

/**
 * Chooses one of some labelled options. `undefined` ends the run: a state with this key has been
 * explored before. Equal keys must stand for equal states.
 */
export type Choose = (labels: readonly string[], stateKey: string) => number | undefined;

/** Outcome of an exploration. */
export type Exploration = {
	readonly runs: number;
	readonly states: number;
	/** The first run that broke an invariant: its choices and what was broken. */
	readonly failure: {readonly trace: readonly string[]; readonly broken: string} | undefined;
};

type Choice = {
	readonly chosen: number;
	readonly options: number;
};

/**
 * Explores depth first; each run repeats the choices of the last up to the one that changes.
 *
 * @param scenario - Deterministic but for its choices; returns what it broke, if anything.
 * @returns Number of runs and the first failure.
 */
export const exploreChoices = async (scenario: (choose: Choose) => Promise<string | undefined>): Promise<Exploration> => {
	const explored = new Set<string>();

	const runOnce = async (path: readonly Choice[]) => {
		const trace: string[] = [];
		const taken: Choice[] = [];
		const broken = await scenario((labels, stateKey) => {
			const isRepeated = taken.length < path.length;
			if (!isRepeated && explored.has(stateKey)) {
				return undefined;
			}

			explored.add(stateKey);
			const chosen = path[taken.length]?.chosen ?? 0;
			taken.push({chosen, options: labels.length});
			trace.push(labels[chosen]!);
			return chosen;
		});
		return {trace, taken, broken};
	};

	let path: Choice[] = [];
	for (let runs = 1; ; runs += 1) {
		const {trace, taken, broken} = await runOnce(path); // eslint-disable-line no-await-in-loop -- runs follow each other
		if (broken !== undefined) {
			return {runs, states: explored.size, failure: {trace, broken}};
		}

		const last = taken.findLastIndex(({chosen, options}) => chosen + 1 < options);
		if (last === -1) {
			return {runs, states: explored.size, failure: undefined};
		}

		path = [...taken.slice(0, last), {...taken[last]!, chosen: taken[last]!.chosen + 1}];
	}
};
