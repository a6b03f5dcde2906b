/**
 * One-shot timers, passed in so that tests run them by hand.
 */

/** Runs a task after some milliseconds; the result cancels it. */
export type Schedule = (milliseconds: number, task: () => void) => () => void;

/**
 * Timer of the process.
 *
 * @param milliseconds - Time to wait.
 * @param task - Must not throw.
 * @returns Cancels the timer.
 */
export const scheduleTimeout: Schedule = (milliseconds, task) => {
	const timer = setTimeout(task, Math.max(0, milliseconds));
	return () => {
		clearTimeout(timer);
	};
};
