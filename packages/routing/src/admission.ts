/**
 * Whether a request is worth queueing. It waits behind the work ahead of it, shared by the
 * requests that this entry has in flight for the service; if that wait and the request's own
 * time do not fit into the time left, it is refused at once as not run, so that its caller can
 * go elsewhere while there is time. The wait may take only part of the time left: the estimate
 * is of a mean, and an answer past its deadline is work lost.
 */

/** What an admission rests on. */
export type AdmissionQuestion = {
	readonly remainingMs: number;
	/** Expected milliseconds in a slot. */
	readonly expectedMs: number;
	/** Expected milliseconds in slots of the requests ahead. */
	readonly aheadMs: number;
	/** Requests of the service that this entry runs at once. */
	readonly concurrency: number;
};

const longestWaitShare = 0.5;

/**
 * Estimates the wait of a request.
 *
 * @param question - Work ahead and concurrency.
 * @returns Milliseconds.
 */
export const expectedWaitMs = ({aheadMs, expectedMs, concurrency}: AdmissionQuestion): number =>
	(aheadMs + expectedMs) / Math.max(1, concurrency);

/**
 * Decides on admission to the queue.
 *
 * @param question - The request and the work ahead.
 * @returns Whether its deadline can be met.
 */
export const canMeetDeadline = (question: AdmissionQuestion): boolean => {
	const {remainingMs, expectedMs} = question;
	return expectedMs < remainingMs && expectedWaitMs(question) <= longestWaitShare * (remainingMs - expectedMs);
};
