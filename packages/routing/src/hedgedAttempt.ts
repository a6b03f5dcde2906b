/**
 * An attempt and, if it stays unanswered for too long, a hedge: a second attempt that runs
 * concurrently. The first good answer is used and the other attempt is cancelled. If one attempt
 * fails, the result of the other is awaited. While there is no budget or free slot for the hedge,
 * its start is retried.
 */
import type {AttemptOutcome} from './attempt.js';
import {hasFailed} from './retryPolicy.js';
import type {RunningAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** Interval at which the start of a hedge is retried. */
const hedgeRetryMs = 10;

/** Parameters of a hedged attempt. */
export type HedgeOptions<Answer> = {
	readonly primary: RunningAttempt<Answer>;
	/** Milliseconds until the hedge starts; `undefined` for no hedge. */
	readonly delayMs: number | undefined;
	readonly schedule: Schedule;
	/** Starts the hedge; returns `undefined` when there is no budget or free slot. */
	readonly startHedge: () => RunningAttempt<Answer> | undefined;
};

/** The attempt whose outcome is used, and the outcomes of all attempts that ended before it or with it. */
export type HedgeResult<Answer> = {
	readonly attempt: RunningAttempt<Answer>;
	readonly outcome: AttemptOutcome<Answer>;
	readonly outcomes: ReadonlyArray<AttemptOutcome<Answer>>;
};

/**
 * Waits for the first good answer of an attempt and its hedge.
 *
 * @param options - The running attempt and how to start the hedge.
 * @returns The first good outcome, or the last failure when all attempts have failed.
 */
export const awaitHedged = async <Answer>({primary, delayMs, schedule, startHedge}: HedgeOptions<Answer>): Promise<HedgeResult<Answer>> => {
	if (delayMs === undefined) {
		const outcome = await primary.outcome;
		return {attempt: primary, outcome, outcomes: [outcome]};
	}

	return new Promise(resolve => {
		const outcomes: Array<AttemptOutcome<Answer>> = [];
		const running = new Set<RunningAttempt<Answer>>();
		let isSettled = false;

		const awaitAttempt = async (attempt: RunningAttempt<Answer>) => {
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
			for (const otherAttempt of running) {
				otherAttempt.cancel();
			}

			resolve({attempt, outcome, outcomes});
		};

		const tryStartHedge = () => {
			const hedge = isSettled ? undefined : startHedge();
			if (hedge !== undefined) {
				void awaitAttempt(hedge);
			} else if (!isSettled) {
				cancelTimer = schedule(hedgeRetryMs, tryStartHedge);
			}
		};

		let cancelTimer = schedule(delayMs, tryStartHedge);
		void awaitAttempt(primary);
	});
};
