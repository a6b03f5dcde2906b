/**
 * Why a look-up has no answer.
 */

/**
 * `invalidAddress`: the caller's address is not an IP. `unknownService`: the configuration has no
 * such service. `noConfiguration`: none is in force yet. `noEntry`: no entry is known.
 */
export type LookupErrorKind = 'invalidAddress' | 'unknownService' | 'noConfiguration' | 'noEntry';

/** A look-up without an answer. */
export type LookupError = {
	readonly kind: LookupErrorKind;
	/** What is wrong, with the value and the fix. */
	readonly message: string;
};
