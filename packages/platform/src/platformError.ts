/**
 * How calls to the platform fail.
 */

/**
 * Why a call gave no value.
 * `unavailable`: it did not take effect. `unknown`: it may have taken effect; read back to
 * find out. `invalid`: the platform refused its form and will refuse it again.
 */
export type PlatformErrorKind = 'unavailable' | 'unknown' | 'invalid';

/** A failed call to the platform. */
export type PlatformError = {
	readonly kind: PlatformErrorKind;
	/** The call, as `table.transact`. */
	readonly operation: string;
	/** What was seen, for logs and for operators. */
	readonly detail: string;
};
