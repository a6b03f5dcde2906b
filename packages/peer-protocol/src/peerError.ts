/**
 * How exchanges between peers fail.
 */

/**
 * `unreachable`: no answer within the time limit or no connection. `refused`: the peer answered
 * with an error. `malformed`: what came is not a valid message. `tooLarge`: the message is over its limit.
 * `closed`: the channel is closed.
 */
export type PeerErrorKind = 'unreachable' | 'refused' | 'malformed' | 'tooLarge' | 'closed';

/** A failed exchange. */
export type PeerError = {
	readonly kind: PeerErrorKind;
	/** What was seen, for logs. */
	readonly detail: string;
};

/**
 * Describes anything that was thrown.
 *
 * @param thrown - The value.
 * @returns Its message.
 */
export const describeThrown = (thrown: unknown): string => thrown instanceof Error ? thrown.message : String(thrown);
