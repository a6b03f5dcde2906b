/**
 * Response to a look-up: the entries that a caller should use.
 */

/** Address of an entry in a look-up response. */
export type LookupAddress = {
	/** Id of the entry. */
	readonly entry: string;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: string;
};

/** Body of `GET /lookup`. */
export type LookupAnswer = {
	readonly service: string;
	/** CIDR prefix of the longest client block that contains the caller's address; `undefined` if there is none. */
	readonly block: string | undefined;
	/** Entries in order of preference. */
	readonly addresses: readonly LookupAddress[];
	/** Time for which the caller may cache the response, in seconds. */
	readonly lifetimeSeconds: number;
	/** Version of the configuration that the response is based on. */
	readonly configurationVersion: number;
};
