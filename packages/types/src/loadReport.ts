/**
 * Load report of an upstream.
 */

/** Whether an upstream takes new work. */
export type UpstreamState = 'serving' | 'leaving';

/** What an upstream says of itself, at `GET /_load` and in a header of each answer. */
export type LoadReport = {
	readonly state: UpstreamState;
	readonly slots: number;
	readonly inUse: number;
	readonly queued: number;
};
