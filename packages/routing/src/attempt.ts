/**
 * An attempt to have an endpoint run a request, and its possible outcomes.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';

/** Why an attempt was made. */
export type AttemptCause = 'first' | 'retry' | 'hedge' | 'probe';

/** Data of an attempt that its sender receives. */
export type Attempt = {
	/** Number of the attempt within its request, from 1. */
	readonly number: number;
	readonly cause: AttemptCause;
	/** Aborted when the answer is no longer needed, which can be at any time until the body has ended. */
	readonly signal: AbortSignal;
	/** Milliseconds from the start of the attempt to the deadline of the request. */
	readonly remainingMs: number;
	/** Records bytes sent to and received from the endpoint, for the link caps. */
	readonly countBytes: (sent: number, received: number) => void;
};

/** How the body of an answer ended. */
export type Completion = 'complete' | 'truncated' | 'cancelled';

/** An answer whose status and headers have arrived. */
export type AnsweredAttempt<Answer> = {
	readonly kind: 'answered';
	readonly status: number;
	readonly answer: Answer;
	/** Load report that came with the answer. */
	readonly report: LoadReport | undefined;
	/** Resolves when the body has ended; never rejects. */
	readonly completion: Promise<Completion>;
};

/**
 * Outcome of an attempt. `not-run`: the endpoint certainly did not run it, since it was never
 * written or the endpoint refused it. `failed`: it may have run. `cancelled`: the signal aborted it;
 * `written` tells whether it may have run.
 */
export type AttemptOutcome<Answer> =
	| AnsweredAttempt<Answer>
	| {readonly kind: 'not-run'; readonly reason: string; readonly cause: 'unreachable' | 'refused'; readonly report: LoadReport | undefined}
	| {readonly kind: 'failed'; readonly reason: string}
	| {readonly kind: 'cancelled'; readonly written: boolean};

/** Sends an attempt to an endpoint. Resolves when the answer's headers have arrived or the attempt has failed; never rejects. */
export type Send<Answer> = (endpoint: Endpoint, attempt: Attempt) => Promise<AttemptOutcome<Answer>>;
