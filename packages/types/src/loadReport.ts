/**
 * Load report that an upstream publishes.
 */

/** Whether an upstream accepts new requests (`serving`) or is shutting down (`leaving`). */
export type UpstreamState = 'serving' | 'leaving';

/** Load of an upstream, as it reports it at `GET /_load` and in a header of each response. */
export type LoadReport = {
	readonly state: UpstreamState;
	/** Number of requests that the upstream runs concurrently. */
	readonly slots: number;
	/** Number of slots in use. */
	readonly inUse: number;
	/** Number of requests waiting for a slot at the upstream. */
	readonly queued: number;
};
