/**
 * Probe of an ejected endpoint: a copy of a request whose answer nobody waits for. It runs on
 * after the caller has its answer, for a few times the usual time of the route, so that the
 * endpoint's own time is seen.
 */
import type {RouteDuration} from './durationEstimate.js';
import type {RunningAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

const usualTimes = 3;
const unknownTimeMs = 1000;

/**
 * Watches a probe to its end.
 *
 * @param attempt - The probe.
 * @param duration - Learned durations of its route.
 * @param schedule - Timers.
 */
export const watchProbe = async (attempt: RunningAttempt<unknown>, duration: RouteDuration, schedule: Schedule): Promise<void> => {
	const usualMs = duration.firstByte(attempt.lease.tracker.region).medianMs();
	const cancelTimer = schedule(usualMs === undefined ? unknownTimeMs : usualTimes * usualMs, attempt.cancel);
	await attempt.outcome;
	cancelTimer();
	attempt.cancel();
};
