/**
 * Derives how long reads of the watched tables may take from the bounds of the deployment.
 */

/** Bounds within which an instance must know changes. */
export type UpdateBounds = {
	/** Time within which an accepted plan must be in force, in milliseconds. */
	readonly planMs: number;
	/** Time within which a draining endpoint must stop receiving requests, in milliseconds. */
	readonly drainMs: number;
	/** Time after the end of a disruption within which an instance must be up to date again, in milliseconds. */
	readonly contactMs: number;
};

/** Times of reads, in milliseconds. */
export type ReadTimes = {
	/** Longest wait of one read of the store for changes, if all instances read it. */
	readonly storeWaitMs: number;
	/** Longest wait of one read of the store by a reader, whose followers must detect an outage in time. */
	readonly readerStoreWaitMs: number;
	/** Time by which the answer of the store may be late before the read counts as failed. */
	readonly answerMs: number;
	/** Longest mean interval between the starts of two reads while reads fail. */
	readonly maximumRetryMs: number;
	/** Age above which a replica is stale. Its followers then read elsewhere. */
	readonly staleAfterMs: number;
};

/** A read that hangs since just before the end of a disruption must have failed, been repeated and been answered within this part of `contactMs`. */
const contactFraction = 0.85;
const answerFraction = 0.3;
const minimumAnswerMs = 600;
const maximumAnswerMs = 1500;
/** The interval between failed reads varies by this factor at most, so that instances do not stay in step. */
export const largestRetryJitter = 1.5;
const minimumRetryMs = 100;
const maximumRetryMs = 1000;
/** Longer waits save few calls and delay the detection of connections that have gone silent. */
const maximumStoreWaitMs = 2500;
const minimumStoreWaitMs = 300;
/** Time for one read of the store after a replica was found stale, and for the delivery to a follower. */
const rereadMs = 1000;
const minimumStaleAfterMs = 800;
const maximumStaleAfterMs = 3000;
/** Time by which a reader's replica is refreshed before it would become stale. */
const refreshMarginMs = 500;

/**
 * Derives the times of reads.
 *
 * @param bounds - Bounds of the deployment.
 * @returns The times.
 */
export const readTimesOf = ({planMs, drainMs, contactMs}: UpdateBounds): ReadTimes => {
	const answerMs = Math.min(Math.max(contactMs * answerFraction, minimumAnswerMs), maximumAnswerMs);
	const storeWaitMs = Math.max(Math.min(maximumStoreWaitMs, (contactMs * contactFraction) - answerMs), minimumStoreWaitMs);
	const staleAfterMs = Math.min(Math.max(Math.min(planMs, drainMs) - rereadMs, minimumStaleAfterMs), maximumStaleAfterMs);
	return {
		storeWaitMs,
		readerStoreWaitMs: Math.max(Math.min(storeWaitMs, staleAfterMs - refreshMarginMs), minimumStoreWaitMs),
		answerMs,
		maximumRetryMs: Math.min(Math.max(((contactMs * contactFraction) - answerMs) / largestRetryJitter, minimumRetryMs), maximumRetryMs),
		staleAfterMs,
	};
};
