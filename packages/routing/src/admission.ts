/**
 * Decides whether a request is queued or refused. The expected wait is the slot time of the
 * requests ahead and of the request itself, divided by the number of requests that this entry runs
 * concurrently for the service. A request whose wait and slot time do not fit into the time left is
 * refused at once without being run, so that its caller can still try elsewhere. The wait may take
 * only part of the time left: the estimate is a mean, and an answer after the deadline is wasted
 * work.
 */

/** Inputs of an admission decision. */
export type AdmissionContext = {
	/** Milliseconds until the deadline. */
	readonly remainingMs: number;
	/** Expected time for which the request holds a slot, in milliseconds. */
	readonly expectedSlotTimeMs: number;
	/** Sum of the expected slot times of the requests ahead, in milliseconds. */
	readonly workAheadMs: number;
	/** Requests of the service that this entry runs concurrently. */
	readonly concurrency: number;
};

/** Largest part of the spare time (the time left minus the slot time) that the wait may take. */
const maximumWaitShare = 0.5;

/**
 * Estimates how long a request waits in the queue.
 *
 * @param context - Work ahead, slot time of the request and concurrency.
 * @returns The expected wait in milliseconds.
 */
export const expectedWaitMs = ({workAheadMs, expectedSlotTimeMs, concurrency}: AdmissionContext): number =>
	(workAheadMs + expectedSlotTimeMs) / Math.max(1, concurrency);

/**
 * Decides whether a request may enter the queue.
 *
 * @param context - The request and the work ahead of it.
 * @returns Whether its deadline can be met.
 */
export const canMeetDeadline = (context: AdmissionContext): boolean => {
	const {remainingMs, expectedSlotTimeMs} = context;
	return expectedSlotTimeMs < remainingMs && expectedWaitMs(context) <= maximumWaitShare * (remainingMs - expectedSlotTimeMs);
};
