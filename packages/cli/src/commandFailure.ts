/**
 * How a command fails: for people as text, for programs as data.
 */
import {err, type Result} from 'neverthrow';
import type {FailureKind} from './exitCodes.js';

/** A failed command. */
export type CommandFailure = {
	readonly kind: FailureKind;
	/** One line that names the place, the value and the fix. */
	readonly message: string;
	/** Further lines, for instance one for each problem. */
	readonly details: readonly string[];
	/** Data for `--json`, beside kind, message and details. */
	readonly data?: unknown;
};

/** A command that succeeded. */
export type CommandReport = {
	/** Text for people, without a newline at its end. */
	readonly text: string;
	/** Data for programs. */
	readonly data: unknown;
};

/** Outcome of a command. */
export type CommandOutcome = Result<CommandReport, CommandFailure>;

/**
 * Makes the outcome of a failed command.
 *
 * @param kind - What happened.
 * @param message - One line for people.
 * @param details - Further lines.
 * @param data - Data for programs.
 * @returns The outcome.
 */
export const failed = (kind: FailureKind, message: string, details: readonly string[] = [], data?: unknown) => err<never, CommandFailure>({
	kind, message, details, data,
});
