/**
 * Decides whether a failed attempt is retried. A retry needs an idempotent request or proof that the
 * attempt did not run, a body that can be sent again, enough time left for another attempt, and an
 * attempt left in the budget. A limit per request keeps one request from using up the budget.
 */
import type {AttemptBudget} from './attemptBudget.js';
import type {AttemptOutcome} from './attempt.js';
import type {RoutedRequest} from './routedRequest.js';

/** Limit of attempts for a request, including the first; a retry is made only below it. */
export const maximumAttempts = 3;

const retryableStatuses = new Set([500, 502, 503, 504]);

/**
 * Tells whether an outcome is a failure that another attempt could correct.
 *
 * @param outcome - Outcome of an attempt.
 * @returns Whether the attempt failed or was answered with a retryable status; false when it was cancelled.
 */
export const hasFailed = (outcome: AttemptOutcome<unknown>): boolean =>
	outcome.kind === 'answered' ? retryableStatuses.has(outcome.status) : outcome.kind !== 'cancelled';

/** Inputs of a retry decision. */
export type RetryContext = {
	readonly request: RoutedRequest;
	readonly outcome: AttemptOutcome<unknown>;
	/** Attempts made so far, hedges and probes included. */
	readonly attempts: number;
	/** Milliseconds until the deadline. */
	readonly remainingMs: number;
	/** Expected time for which an attempt holds a slot, in milliseconds. */
	readonly expectedSlotTimeMs: number;
	readonly budget: AttemptBudget;
};

/**
 * Decides whether to retry and, if so, takes the attempt from the budget.
 *
 * @param context - The request, the outcome of the failed attempt, the time left and the budget.
 * @returns Whether to make another attempt.
 */
export const reserveRetry = ({request, outcome, attempts, remainingMs, expectedSlotTimeMs, budget}: RetryContext): boolean => {
	const isSafeToRepeat = outcome.kind === 'not-run' || request.route.kind === 'idempotent';
	return isSafeToRepeat
		&& request.replayable
		&& attempts < maximumAttempts
		&& remainingMs > expectedSlotTimeMs
		&& budget.tryTake();
};
