/**
 * Exit codes of `filbertwell`.
 */

/** Exit codes by the result of the command. */
export const exitCodes = {
	/** The command succeeded. */
	done: 0,
	/** An intent or settings file is invalid; nothing was changed. */
	invalidInput: 1,
	/** The arguments are invalid; nothing was done. */
	usage: 2,
	/** Another change was accepted first; nothing was changed. */
	conflict: 3,
	/** The platform or the entries can't be reached; nothing was changed. */
	unreachable: 4,
	/** The change may have been accepted; run the command again with the same change id. */
	unknown: 5,
	/** The change was accepted, but was not in force at all instances within the timeout. */
	lagging: 6,
	/** An unexpected error in the program. */
	internal: 70,
} as const;

/** Kind of a failure, which determines the exit code. */
export type FailureKind = Exclude<keyof typeof exitCodes, 'done'>;
