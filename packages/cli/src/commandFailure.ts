/**
 * Results of commands. Each has a text form for people and a data form for `--json`.
 */
import {err, type Result} from 'neverthrow';
import type {FailureKind} from './exitCodes.js';

/** A failed command. */
export type CommandFailure = {
	readonly kind: FailureKind;
	/** One line that names the cause and how to correct it. */
	readonly message: string;
	/** Further lines, for instance one for each problem. */
	readonly details: readonly string[];
	/** Additional data for `--json`. */
	readonly data?: unknown;
};

/** Output of a command that succeeded. */
export type CommandReport = {
	/** Text for people, without a trailing newline. */
	readonly text: string;
	/** Document printed with `--json`. */
	readonly data: unknown;
};

/** Output of a command, or the failure. */
export type CommandOutcome = Result<CommandReport, CommandFailure>;

/**
 * Creates the outcome of a failed command.
 *
 * @param kind - Kind of the failure, which determines the exit code.
 * @param message - One line that names the cause and how to correct it.
 * @param details - Further lines.
 * @param data - Additional data for `--json`.
 * @returns The outcome, always an error.
 */
export const createFailure = (kind: FailureKind, message: string, details: readonly string[] = [], data?: unknown) => err<never, CommandFailure>({
	kind, message, details, data,
});
