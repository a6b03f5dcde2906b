/**
 * Limits the rate of log lines per event.
 */
import {performance} from 'node:perf_hooks';

/** Decision on one log line. */
export type LinePermit = {
	readonly isAllowed: boolean;
	/** Number of the event's lines that were dropped since the last one that was allowed. */
	readonly dropped: number;
};

/** Maximum number of lines per event and second; further lines are dropped. */
const linesPerSecond = 20;
const millisecondsPerSecond = 1000;

type EventCounts = {
	second: number;
	lines: number;
	dropped: number;
};

/**
 * Creates the rate limit of a component.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns A function that counts a line for an event's number and returns whether it may be written.
 */
export const createLineLimit = (clock: () => number = () => performance.now()): ((event: number) => LinePermit) => {
	const countsByEvent = new Map<number, EventCounts>();
	return event => {
		const second = Math.floor(clock() / millisecondsPerSecond);
		const counts = countsByEvent.get(event) ?? {second, lines: 0, dropped: 0};
		countsByEvent.set(event, counts);
		if (counts.second !== second) {
			counts.second = second;
			counts.lines = 0;
		}

		if (counts.lines >= linesPerSecond) {
			counts.dropped += 1;
			return {isAllowed: false, dropped: counts.dropped};
		}

		counts.lines += 1;
		const {dropped} = counts;
		counts.dropped = 0;
		return {isAllowed: true, dropped};
	};
};
