/**
 * Probe of an ejected endpoint: a copy of a request whose answer is discarded. It may continue after
 * the caller has its answer, for a few median times of the route, so that the time of the endpoint
 * itself is measured.
 */
import type {RouteDuration} from './durationEstimate.js';
import type {RunningAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** Timeout of a probe, in medians of the time to first byte. */
const timeoutMedians = 3;
/** Timeout while the median is unknown. */
const defaultTimeoutMs = 1000;

/**
 * Waits for the outcome of a probe, cancels it when it times out, and discards the body of its answer.
 *
 * @param attempt - The running probe.
 * @param duration - Learned durations of its route.
 * @param schedule - Timer function.
 */
export const superviseProbe = async (attempt: RunningAttempt<unknown>, duration: RouteDuration, schedule: Schedule): Promise<void> => {
	const medianMs = duration.firstByte(attempt.lease.tracker.region).medianMs();
	const cancelTimer = schedule(medianMs === undefined ? defaultTimeoutMs : timeoutMedians * medianMs, attempt.cancel);
	await attempt.outcome;
	cancelTimer();
	attempt.cancel();
};
