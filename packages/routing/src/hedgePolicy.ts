/**
 * When a second attempt starts beside one that is still unanswered. It starts past the 95th
 * percentile of the route's time to first byte, so that at most about one request in twenty
 * qualifies, and it runs in another availability zone where there is one, since what slows the
 * first often slows its neighbours. The delay is kept within some medians. Where times differ
 * little, hedges at the percentile would gain little and use up the budget that the rare very
 * slow answers need; while endpoints are slow, the percentile rises to their slowness, and a
 * hedge that waits for it comes too late.
 */
import type {FirstByteTime} from './durationEstimate.js';
import type {RoutedRequest} from './routedRequest.js';

const leastMedians = 2;
const mostMedians = 4;
const smallestDelayMs = 2;

/**
 * Finds when to hedge.
 *
 * @param request - The request.
 * @param firstByte - Learned time to first byte of its route, in the region of the first attempt.
 * @returns Milliseconds after the start of the attempt, or `undefined` for never.
 */
export const hedgeDelayMs = (request: RoutedRequest, firstByte: FirstByteTime): number | undefined => {
	const medianMs = firstByte.medianMs();
	const p95Ms = firstByte.p95Ms();
	const isAllowed = request.route.hedge && request.route.kind === 'idempotent' && request.replayable;
	if (!isAllowed || medianMs === undefined || p95Ms === undefined) {
		return undefined;
	}

	const delayMs = Math.min(mostMedians * medianMs, Math.max(leastMedians * medianMs, p95Ms));
	return Math.max(smallestDelayMs, delayMs);
};
