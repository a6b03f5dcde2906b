/**
 * What an experiment is, and what it reports.
 */

/** Figures by name; each name ends in its unit where it has one. */
export type Figures = Readonly<Record<string, number>>;

/** Outcome of one run of an experiment. Printed as one line of JSON. */
export type ExperimentResult = {
	readonly experiment: string;
	readonly seed: number;
	/** Figures without the decision that is measured, from the same run. */
	readonly baseline: Figures;
	/** Figures with the decision. */
	readonly value: Figures;
	/** The ratio that the bound limits, where it limits one. */
	readonly ratio: number | undefined;
	/** The bound in words. */
	readonly bound: string;
	/** Whether the bound holds. */
	readonly ok: boolean;
};

/** Parameters of a run. */
export type ExperimentOptions = {
	readonly seed: number;
};

/**
 * A measurement with a bound. Each module of `experiments/` exports one as `experiment`.
 */
export type Experiment = {
	/** Name on the command line, in kebab case. */
	readonly name: string;
	/** One line for `--list`. */
	readonly description: string;
	readonly run: (options: ExperimentOptions) => Promise<ExperimentResult>;
};
