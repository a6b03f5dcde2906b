/**
 * Limits of at-most-once requests, with their defaults.
 */

/** Limits that one process applies. */
export type OrderLimits = {
	/** Maximum time from the start of a claim to its dispatch; after that the request is not dispatched. */
	readonly dispatchBoundMs: number;
	/** Time reserved before the caller's deadline for the answer to arrive. */
	readonly answerReserveMs: number;
	/** Maximum time that a resend waits for the attempt that holds the claim. */
	readonly waitLimitMs: number;
	/** Initial time between two reads of another attempt's claim; it doubles up to `maximumPollMs`. */
	readonly firstPollMs: number;
	readonly maximumPollMs: number;
	/** Maximum number of writes of a claim; a write whose reply was lost is repeated. */
	readonly claimTries: number;
	/** Maximum length of a base64 body that is kept in the row; longer ones go to the object store. */
	readonly maximumRowAnswerLength: number;
	/** Maximum length of a base64 body that is kept; of longer ones only status and hash are. */
	readonly maximumKeptAnswerLength: number;
	/** Maximum number of outcomes waiting to be written; further ones are dropped. */
	readonly maximumPendingOutcomes: number;
	/** Initial backoff before an outcome is written again; it doubles up to `maximumOutcomeRetryMs`. */
	readonly firstOutcomeRetryMs: number;
	readonly maximumOutcomeRetryMs: number;
	/** Maximum time that `stop` waits for outcomes to be written. */
	readonly stopFlushMs: number;
	/** Maximum rate of transactions for orders in this process. */
	readonly transactionsPerSecond: number;
	/** Maximum number of transactions in progress. */
	readonly maximumTransactions: number;
	/** Maximum number of rows in one transaction. */
	readonly maximumRows: number;
	/** Maximum number of writes waiting for a transaction; further ones are rejected. */
	readonly maximumQueuedWrites: number;
};

/** Defaults, sized for 8 entries that share a table service with several hundred writes per second. */
export const defaultOrderLimits: OrderLimits = {
	dispatchBoundMs: 5000,
	answerReserveMs: 50,
	waitLimitMs: 5000,
	firstPollMs: 25,
	maximumPollMs: 400,
	claimTries: 3,
	maximumRowAnswerLength: 32_768,
	maximumKeptAnswerLength: 4_194_304,
	maximumPendingOutcomes: 2000,
	firstOutcomeRetryMs: 100,
	maximumOutcomeRetryMs: 5000,
	stopFlushMs: 5000,
	transactionsPerSecond: 30,
	maximumTransactions: 8,
	maximumRows: 50,
	maximumQueuedWrites: 5000,
};
