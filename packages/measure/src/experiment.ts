/**
 * Types of experiments and their results.
 */

/** Figures by name. A name ends with the unit of its figure, if the figure has one. */
export type Figures = Readonly<Record<string, number>>;

/** Outcome of one run of an experiment. Printed as one line of JSON. */
export type ExperimentResult = {
	readonly experiment: string;
	readonly seed: number;
	/** Figures without the design choice that is measured, from the same run. */
	readonly baseline: Figures;
	/** Figures with the design choice. */
	readonly value: Figures;
	/** The ratio that the bound limits; `undefined` if the bound limits no ratio. */
	readonly ratio: number | undefined;
	/** Description of the bound. */
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
	/** One-line description, printed by `--list`. */
	readonly description: string;
	readonly run: (options: ExperimentOptions) => Promise<ExperimentResult>;
};
