/**
 * Logs a lasting problem once, and again when it changes.
 */
import type {EventDefinition} from '@filbertwell/logger/eventDefinition';
import type {Fields, Logger} from '@filbertwell/logger/logger';

/** Logs problems of one kind. */
export type ProblemLog = {
	readonly report: (event: EventDefinition, fields: Fields) => void;
	/** The problem is over; returns whether there was one. */
	readonly clear: () => boolean;
};

/**
 * Creates a log without a problem.
 *
 * @param log - Where events go.
 * @returns The log.
 */
export const createProblemLog = (log: Logger): ProblemLog => {
	let last: string | undefined;
	return {
		report(event, fields) {
			const problem = `${event.number} ${JSON.stringify(fields)}`;
			if (problem !== last) {
				last = problem;
				log(event, fields);
			}
		},
		clear() {
			const had = last !== undefined;
			last = undefined;
			return had;
		},
	};
};
