/**
 * An accepted configuration: an intent with its version and the metadata of its change.
 */
import type {Intent} from './intent.js';

/** An intent that has been committed to the table service. */
export type Configuration = {
	/** Starts at 1 and increases by one with each accepted change. */
	readonly version: number;
	/** Unique id of the change that created this version. */
	readonly changeId: string;
	readonly author: string;
	/** Time of acceptance by the operator's clock, in ISO 8601. Only displayed; no decision depends on it. */
	readonly acceptedAt: string;
	readonly intent: Intent;
};
