/**
 * Decides when a hedge starts: a second attempt that runs concurrently with an unanswered one. It
 * starts after the 95th percentile of the route's time to first byte, so that at most about one
 * request in twenty qualifies, and it runs in another availability zone if there is one, since the
 * cause of a slow attempt often affects the neighbouring endpoints too. The delay is at least two
 * medians: if times vary little, hedging at the percentile would gain little and use up the budget
 * that the rare very slow answers need. The delay is at most four medians: while many endpoints are
 * slow, the percentile rises to their times, and a hedge after it would come too late.
 */
import type {FirstByteTime} from './durationEstimate.js';
import type {RoutedRequest} from './routedRequest.js';

/** Bounds of the delay, in medians of the time to first byte. */
const minimumDelayMedians = 2;
const maximumDelayMedians = 4;
const minimumDelayMs = 2;

/**
 * Computes the delay before a hedge.
 *
 * @param request - The request.
 * @param firstByte - Learned time to first byte of its route, in the region of the first attempt.
 * @returns Milliseconds after the start of the attempt; `undefined` when the request must not be
 * hedged or the times of its route are unknown.
 */
export const hedgeDelayMs = (request: RoutedRequest, firstByte: FirstByteTime): number | undefined => {
	const medianMs = firstByte.medianMs();
	const p95Ms = firstByte.p95Ms();
	const isAllowed = request.route.hedge && request.route.kind === 'idempotent' && request.replayable;
	if (!isAllowed || medianMs === undefined || p95Ms === undefined) {
		return undefined;
	}

	const delayMs = Math.min(maximumDelayMedians * medianMs, Math.max(minimumDelayMedians * medianMs, p95Ms));
	return Math.max(minimumDelayMs, delayMs);
};
