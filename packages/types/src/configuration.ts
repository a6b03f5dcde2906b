/**
 * An accepted configuration: an intent with its version.
 */
import type {Intent} from './intent.js';

/** An intent that the table service has accepted. */
export type Configuration = {
	/** Rises by one with each acceptance, from 1. */
	readonly version: number;
	/** Unique token of the change that made this version. */
	readonly changeId: string;
	readonly author: string;
	/** Time of acceptance by the operator's clock, ISO 8601. For people only. */
	readonly acceptedAt: string;
	readonly intent: Intent;
};
