/**
 * Exit codes of `filbertwell`.
 */

/** Exit codes, by what happened. */
export const exitCodes = {
	/** Done. */
	done: 0,
	/** An intent or settings file is wrong; nothing was changed. */
	invalidInput: 1,
	/** The command line is wrong; nothing was done. */
	usage: 2,
	/** Another change was accepted first; nothing was changed. */
	conflict: 3,
	/** The platform or the entries can't be reached; nothing was changed. */
	unreachable: 4,
	/** The change may have been accepted; apply it again with the same change id. */
	unknown: 5,
	/** The change is accepted, but not in force everywhere within the wait. */
	lagging: 6,
	/** A fault of the program itself. */
	internal: 70,
} as const;

/** What became of a command that failed. */
export type FailureKind = Exclude<keyof typeof exitCodes, 'done'>;
