/**
 * Answer to a look-up: which entries a caller should use.
 */

/** An entry address in an answer. */
export type LookupAddress = {
	readonly entry: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: string;
};

/** Body of `GET /lookup`. */
export type LookupAnswer = {
	readonly service: string;
	/** The longest client block that holds the caller's address, if one does. */
	readonly block: string | undefined;
	/** Entries in order of preference. */
	readonly addresses: readonly LookupAddress[];
	readonly lifetimeSeconds: number;
	readonly configurationVersion: number;
};
