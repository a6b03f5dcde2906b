/**
 * One attempt to have an endpoint run a request, and what can come of it.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';

/** Why an attempt is made. */
export type AttemptCause = 'first' | 'retry' | 'hedge' | 'probe';

/** What a sender is told of an attempt. */
export type Attempt = {
	/** Number within the request, from 1. */
	readonly number: number;
	readonly cause: AttemptCause;
	/** Aborted when the answer is no longer wanted, up to the end of its body. */
	readonly signal: AbortSignal;
	/** Milliseconds until the caller stops waiting, at the start of the attempt. */
	readonly remainingMs: number;
	/** Counts bytes sent to and received from the endpoint, for the link caps. */
	readonly countBytes: (sent: number, received: number) => void;
};

/** How an answer's body ended. */
export type Completion = 'complete' | 'truncated' | 'cancelled';

/** An answer whose status and headers have arrived. */
export type AnsweredAttempt<Answer> = {
	readonly kind: 'answered';
	readonly status: number;
	readonly answer: Answer;
	readonly report: LoadReport | undefined;
	/** Settles when the body has ended; never rejects. */
	readonly completion: Promise<Completion>;
};

/**
 * Outcome of an attempt. `not-run`: proof that the endpoint did not run it: it was never
 * written, or the endpoint said so. `failed`: it may have run. `cancelled`: the signal ended it.
 */
export type AttemptOutcome<Answer> =
	| AnsweredAttempt<Answer>
	| {readonly kind: 'not-run'; readonly reason: string; readonly cause: 'unreachable' | 'refused'; readonly report: LoadReport | undefined}
	| {readonly kind: 'failed'; readonly reason: string}
	| {readonly kind: 'cancelled'; readonly written: boolean};

/** Sends an attempt to an endpoint. Settles when the answer's headers are there; never rejects. */
export type Send<Answer> = (endpoint: Endpoint, attempt: Attempt) => Promise<AttemptOutcome<Answer>>;
