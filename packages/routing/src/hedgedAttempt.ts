/**
 * An attempt and, if it stays unanswered for too long, a second one beside it. The first good
 * answer wins and the other attempt is cancelled. A failed one waits for the other. While there
 * is no budget or room for the second, it is tried again.
 */
import type {AttemptOutcome} from './attempt.js';
import {hasFailed} from './retryPolicy.js';
import type {RunningAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

const lookAgainMs = 10;

/** Parameters of a hedged attempt. */
export type Hedge<Answer> = {
	readonly primary: RunningAttempt<Answer>;
	/** Milliseconds until the second attempt; `undefined` for none. */
	readonly delayMs: number | undefined;
	readonly schedule: Schedule;
	/** Starts the second attempt, if there is budget and room. */
	readonly startSecond: () => RunningAttempt<Answer> | undefined;
};

/** The attempt whose outcome counts, and all outcomes that were seen. */
export type HedgeResult<Answer> = {
	readonly attempt: RunningAttempt<Answer>;
	readonly outcome: AttemptOutcome<Answer>;
	readonly outcomes: ReadonlyArray<AttemptOutcome<Answer>>;
};

/**
 * Waits for the first good answer of one or two attempts.
 *
 * @param hedge - The first attempt and how to start the second.
 * @returns The winner, or the last failure when all have failed.
 */
export const awaitHedged = async <Answer>({primary, delayMs, schedule, startSecond}: Hedge<Answer>): Promise<HedgeResult<Answer>> => {
	if (delayMs === undefined) {
		const outcome = await primary.outcome;
		return {attempt: primary, outcome, outcomes: [outcome]};
	}

	return new Promise(resolve => {
		const outcomes: Array<AttemptOutcome<Answer>> = [];
		const running = new Set<RunningAttempt<Answer>>();
		let isSettled = false;

		const follow = async (attempt: RunningAttempt<Answer>) => {
			running.add(attempt);
			const outcome = await attempt.outcome;
			running.delete(attempt);
			outcomes.push(outcome);
			if (isSettled) {
				return;
			}

			if (hasFailed(outcome) && running.size > 0) {
				attempt.cancel();
				return;
			}

			isSettled = true;
			cancelTimer();
			for (const loser of running) {
				loser.cancel();
			}

			resolve({attempt, outcome, outcomes});
		};

		const tryHedge = () => {
			const second = isSettled ? undefined : startSecond();
			if (second !== undefined) {
				void follow(second);
			} else if (!isSettled) {
				cancelTimer = schedule(lookAgainMs, tryHedge);
			}
		};

		let cancelTimer = schedule(delayMs, tryHedge);
		void follow(primary);
	});
};
