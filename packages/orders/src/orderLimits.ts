/**
 * Limits of at-most-once requests.
 */

/** Limits of one process. */
export type OrderLimits = {
	/** Longest time from the start of a claim to its dispatch; a later dispatch does not happen. */
	readonly dispatchBoundMs: number;
	/** Time before the caller's deadline that is left for the answer to arrive. */
	readonly answerReserveMs: number;
	/** Longest wait of a resend for the attempt that holds the claim. */
	readonly waitLimitMs: number;
	/** First pause between two looks at another's claim; it doubles up to `maximumPollMs`. */
	readonly firstPollMs: number;
	readonly maximumPollMs: number;
	/** Tries of a claim whose reply was lost. */
	readonly claimTries: number;
	/** Longest base64 body that is kept in the row; longer ones go to the object store. */
	readonly maximumRowAnswerLength: number;
	/** Longest base64 body that is kept at all. */
	readonly maximumKeptAnswerLength: number;
	/** Outcomes that wait for the table at once. */
	readonly maximumPendingOutcomes: number;
	/** Pause before an outcome is written again; it doubles up to `maximumOutcomeRetryMs`. */
	readonly firstOutcomeRetryMs: number;
	readonly maximumOutcomeRetryMs: number;
	/** Longest time that `stop` waits for outcomes to be written. */
	readonly stopFlushMs: number;
	/** Transactions a second that this process sends for orders. */
	readonly transactionsPerSecond: number;
	/** Transactions in progress at once. */
	readonly maximumTransactions: number;
	/** Rows of one transaction. */
	readonly maximumRows: number;
	/** Writes that wait for a transaction at once; more are refused. */
	readonly maximumQueuedWrites: number;
};

/** Limits that suit 8 entries on a table service of several hundred writes a second. */
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
