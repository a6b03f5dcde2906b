/**
 * Errors of look-ups.
 */

/**
 * `invalidAddress`: the caller's address is not an IP address. `unknownService`: the configuration
 * does not contain the service. `noConfiguration`: no configuration is in force yet. `noEntry`: no
 * entry is available.
 */
export type LookupErrorKind = 'invalidAddress' | 'unknownService' | 'noConfiguration' | 'noEntry';

/** Reason why a look-up has no answer. */
export type LookupError = {
	readonly kind: LookupErrorKind;
	/** Names the refused value and the fix. */
	readonly message: string;
};
