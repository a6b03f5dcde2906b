/**
 * Errors of calls to the platform.
 */

/**
 * Why a call failed.
 * `unavailable`: it had no effect. `unknown`: it may have taken effect; read the data back to find
 * out. `invalid`: the call or its response is malformed; a retry does not help.
 */
export type PlatformErrorKind = 'unavailable' | 'unknown' | 'invalid';

/** A failed call to the platform. */
export type PlatformError = {
	readonly kind: PlatformErrorKind;
	/** The operation that failed, for example `table.transact`. */
	readonly operation: string;
	/** Description of the failure for logs and operators. */
	readonly detail: string;
};
