/**
 * Errors of the communication between peers.
 */

/**
 * `unreachable`: no connection, or no answer within the time limit. `refused`: the peer answered
 * with an error. `malformed`: the received data is not a valid message. `tooLarge`: the message
 * exceeds its size limit. `closed`: the channel is closed.
 */
export type PeerErrorKind = 'unreachable' | 'refused' | 'malformed' | 'tooLarge' | 'closed';

/** Failure of a call or a message. */
export type PeerError = {
	readonly kind: PeerErrorKind;
	/** Description of the failure for logs. */
	readonly detail: string;
};

/**
 * Describes a thrown value.
 *
 * @param thrown - Value of any type.
 * @returns The message of an `Error`, or the value as a string.
 */
export const describeThrown = (thrown: unknown): string => thrown instanceof Error ? thrown.message : String(thrown);
