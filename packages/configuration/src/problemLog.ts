/**
 * Logs a persistent problem once, and again only when its event or fields change.
 */
import type {EventDefinition} from '@filbertwell/logger/eventDefinition';
import type {Fields, Logger} from '@filbertwell/logger/logger';

/** Log of one kind of problem that suppresses repetitions. */
export type ProblemLog = {
	readonly report: (event: EventDefinition, fields: Fields) => void;
	/** Marks the problem as resolved; returns whether one had been reported. */
	readonly clear: () => boolean;
};

/**
 * Creates a log without a reported problem.
 *
 * @param log - Logger that receives the events.
 * @returns The log.
 */
export const createProblemLog = (log: Logger): ProblemLog => {
	let lastProblem: string | undefined;
	return {
		report(event, fields) {
			const problem = `${event.number} ${JSON.stringify(fields)}`;
			if (problem !== lastProblem) {
				lastProblem = problem;
				log(event, fields);
			}
		},
		clear() {
			const wasReported = lastProblem !== undefined;
			lastProblem = undefined;
			return wasReported;
		},
	};
};
