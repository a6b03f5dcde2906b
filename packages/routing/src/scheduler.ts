/**
 * One-shot timers, passed as a function so that tests can fire them by hand.
 */

/** Runs a task once after a number of milliseconds; returns a function that cancels it. */
export type Schedule = (milliseconds: number, task: () => void) => () => void;

/**
 * Schedules a task with `setTimeout`.
 *
 * @param milliseconds - Delay; a negative one counts as 0.
 * @param task - Function to run; it must not throw.
 * @returns A function that cancels the timer.
 */
export const scheduleTimeout: Schedule = (milliseconds, task) => {
	const timer = setTimeout(task, Math.max(0, milliseconds));
	return () => {
		clearTimeout(timer);
	};
};
