/**
 * Whether a failed attempt is followed by another. It needs an idempotent request or proof that
 * the attempt did not run, a body that can be sent again, time left for another attempt, and
 * room in the budget. A limit per request keeps one request from spending the savings of many.
 */
import type {AttemptBudget} from './attemptBudget.js';
import type {AttemptOutcome} from './attempt.js';
import type {RoutedRequest} from './routedRequest.js';

/** Attempts of one request at most, retries and the first counted. */
export const maximumAttempts = 3;

const retryableStatuses = new Set([500, 502, 503, 504]);

/**
 * Tells whether an outcome leaves a wish for another attempt.
 *
 * @param outcome - Outcome of an attempt.
 * @returns Whether the attempt did not give the answer that was asked for.
 */
export const hasFailed = (outcome: AttemptOutcome<unknown>): boolean =>
	outcome.kind === 'answered' ? retryableStatuses.has(outcome.status) : outcome.kind !== 'cancelled';

/** What a decision on a retry rests on. */
export type RetryQuestion = {
	readonly request: RoutedRequest;
	readonly outcome: AttemptOutcome<unknown>;
	readonly attempts: number;
	readonly remainingMs: number;
	/** Time that an attempt is expected to take. */
	readonly expectedMs: number;
	readonly budget: AttemptBudget;
};

/**
 * Decides on a retry and takes it from the budget.
 *
 * @param question - The request, the failed attempt and what is left.
 * @returns Whether to make another attempt.
 */
export const takeRetry = ({request, outcome, attempts, remainingMs, expectedMs, budget}: RetryQuestion): boolean => {
	const isSafe = outcome.kind === 'not-run' || request.route.kind === 'idempotent';
	return isSafe
		&& request.replayable
		&& attempts < maximumAttempts
		&& remainingMs > expectedMs
		&& budget.tryTake();
};
