/**
 * Waits until the event loop has polled for input. If a request and the close of its connection have both been received,
 * one poll reads the request and the next one the close. Work that must not begin for a caller that has left therefore
 * waits for one more poll, and begins soon after it.
 */
import {type Clock, monotonicClock} from './clock.js';

/** Resolves after a poll that began after the call, and so soon after it that its results are still current. */
export type AfterNextPoll = () => Promise<void>;

/**
 * Work that begins in one turn of the event loop takes at most about this time; the rest waits for another poll. Far less
 * than the half a second after which work for a caller that has left counts as wasted.
 */
const longestTurnMs = 20;

/**
 * Creates a barrier. The callers that wait at it resume in the order in which they came.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The barrier.
 */
export const createPollBarrier = (clock: Clock): AfterNextPoll => {
	let turnStartedAtMs = 0;
	let isTurnStartScheduled = false;

	const startTurn = () => {
		isTurnStartScheduled = false;
		turnStartedAtMs = clock();
	};

	/** Calls back after the poll of this turn; from there, after the poll of the next turn. */
	const afterPoll = (callback: () => void) => {
		if (!isTurnStartScheduled) {
			isTurnStartScheduled = true;
			setImmediate(startTurn);
		}

		setImmediate(callback);
	};

	return async () => new Promise(resolve => {
		const resume = () => {
			if (clock() - turnStartedAtMs > longestTurnMs) {
				afterPoll(resume);
			} else {
				resolve();
			}
		};

		afterPoll(() => {
			afterPoll(resume);
		});
	});
};

/** The barrier of this process. */
export const afterNextPoll = createPollBarrier(monotonicClock);
