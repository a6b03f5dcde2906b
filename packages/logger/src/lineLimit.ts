/**
 * Bounds the log lines of each event.
 */
import {performance} from 'node:perf_hooks';

/** Whether a line may be written, and how many of its event were dropped since the last one. */
export type LinePermit = {
	readonly isAllowed: boolean;
	readonly dropped: number;
};

/** Lines of one event in a second, above which they are dropped. */
const linesPerSecond = 20;
const millisecondsPerSecond = 1000;

type EventLines = {
	second: number;
	lines: number;
	dropped: number;
};

/**
 * Creates the limit of one component.
 *
 * @param clock - Monotonic milliseconds.
 * @returns Asks for a line of an event, by its number.
 */
export const createLineLimit = (clock: () => number = () => performance.now()): ((event: number) => LinePermit) => {
	const byEvent = new Map<number, EventLines>();
	return event => {
		const second = Math.floor(clock() / millisecondsPerSecond);
		const known = byEvent.get(event) ?? {second, lines: 0, dropped: 0};
		byEvent.set(event, known);
		if (known.second !== second) {
			known.second = second;
			known.lines = 0;
		}

		if (known.lines >= linesPerSecond) {
			known.dropped += 1;
			return {isAllowed: false, dropped: known.dropped};
		}

		known.lines += 1;
		const {dropped} = known;
		known.dropped = 0;
		return {isAllowed: true, dropped};
	};
};
