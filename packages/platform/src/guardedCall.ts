/**
 * Runs calls to the platform with a concurrency limit, a circuit breaker, a total timeout and retries.
 * A write is retried only if the retry cannot apply it twice.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {err, ok, type Result} from 'neverthrow';
import type {CircuitBreaker} from './circuitBreaker.js';
import type {ConcurrencyLimit} from './concurrencyLimit.js';
import type {ExchangeOutcome} from './httpExchange.js';
import type {PlatformError, PlatformErrorKind} from './platformError.js';

/**
 * Effect of repeating a call. `read`: none. `idempotentWrite`: the same as a single call.
 * `conditionalWrite`: the conditions may fail because the first call already took effect.
 */
export type CallKind = 'read' | 'idempotentWrite' | 'conditionalWrite';

/** A finished call, for metrics. */
export type FinishedCall = {
	readonly operation: string;
	readonly outcome: 'answered' | PlatformErrorKind;
	readonly attempts: number;
	/** Total time, including the queue and all attempts. */
	readonly milliseconds: number;
};

/** A call to run. */
export type GuardedCall = {
	readonly operation: string;
	readonly kind: CallKind;
	/** Sends the request once, with a timeout in milliseconds. */
	readonly send: (timeoutMs: number) => Promise<ExchangeOutcome>;
};

/** A response with a status below 400, or 404. */
export type ServiceResponse = {
	readonly status: number;
	readonly body: string;
};

export type CallGuardOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Timeout of a whole call, including queueing and retries. */
	readonly timeoutMs: number;
	readonly circuitBreaker: CircuitBreaker;
	readonly limit: ConcurrencyLimit;
	/** Sleeps between attempts. */
	readonly wait: (milliseconds: number) => Promise<void>;
	readonly onFinished: (call: FinishedCall) => void;
};

const maximumAttempts = 3;
const initialRetryDelayMs = 20;
const serviceUnavailable = 503;
const firstServerError = 500;
const firstClientError = 400;
const notFound = 404;

type AttemptResult = Result<ServiceResponse, PlatformError>;

const classify = (operation: string, kind: CallKind, outcome: ExchangeOutcome): AttemptResult => {
	const fail = (errorKind: PlatformErrorKind, detail: string): AttemptResult => err({kind: errorKind, operation, detail});
	if (outcome.kind === 'notSent') {
		return fail('unavailable', outcome.detail);
	}

	const lostErrorKind = kind === 'read' ? 'unavailable' : 'unknown';
	if (outcome.kind === 'lost') {
		return fail(lostErrorKind, outcome.detail);
	}

	const {status, body} = outcome;
	if (status === serviceUnavailable) {
		return fail('unavailable', `status 503: ${body}`);
	}

	if (status >= firstServerError) {
		return fail(lostErrorKind, `status ${status}: ${body}`);
	}

	return status >= firstClientError && status !== notFound
		? fail('invalid', `status ${status}: ${body}`)
		: ok({status, body});
};

const isRetryable = (kind: CallKind, error: PlatformError): boolean => {
	if (error.kind === 'invalid') {
		return false;
	}

	return error.kind === 'unavailable' || kind !== 'conditionalWrite';
};

/**
 * Creates a function that runs calls to one service of the platform.
 *
 * @param options - Timeout, concurrency limit, circuit breaker and clock.
 * @returns A function that runs a call and resolves to the response or the error of its last attempt.
 */
export const createCallGuard = ({clock, random, timeoutMs, circuitBreaker, limit, wait, onFinished}: CallGuardOptions) => {
	const attemptOnce = async (call: GuardedCall, remainingMs: number): Promise<AttemptResult> => {
		if (!circuitBreaker.tryStartCall()) {
			return err({kind: 'unavailable', operation: call.operation, detail: 'the circuit breaker is open after repeated failures'});
		}

		// A call that can be retried reserves half of the remaining time for a second attempt.
		const attemptMs = call.kind === 'conditionalWrite' ? remainingMs : Math.max(remainingMs / 2, 1);
		const attempt = classify(call.operation, call.kind, await call.send(attemptMs));
		if (attempt.isErr() && attempt.error.kind !== 'invalid') {
			circuitBreaker.recordFailure();
		} else {
			circuitBreaker.recordSuccess();
		}

		return attempt;
	};

	const attemptWithRetries = async (call: GuardedCall, startedAt: number): Promise<{attempt: AttemptResult; attempts: number}> => {
		let delayMs = initialRetryDelayMs;
		let mayHaveTakenEffect = false;
		for (let attempts = 1; ; attempts += 1) {
			// Each attempt depends on the outcome of the previous one.
			const attempt = await attemptOnce(call, Math.max(1, timeoutMs - (clock() - startedAt))); // eslint-disable-line no-await-in-loop
			if (attempt.isOk()) {
				return {attempt, attempts};
			}

			mayHaveTakenEffect ||= attempt.error.kind === 'unknown';
			const waitMs = delayMs * (0.5 + random());
			const isOutOfTime = clock() - startedAt + waitMs >= timeoutMs;
			if (attempts === maximumAttempts || isOutOfTime || circuitBreaker.state() === 'open' || !isRetryable(call.kind, attempt.error)) {
				// An earlier attempt may have taken effect even though the last one did not.
				const kind = mayHaveTakenEffect ? 'unknown' : attempt.error.kind;
				return {attempt: err({...attempt.error, kind}), attempts};
			}

			await wait(waitMs); // eslint-disable-line no-await-in-loop
			delayMs *= 2;
		}
	};

	return async (call: GuardedCall): Promise<Result<ServiceResponse, PlatformError>> => {
		const startedAt = clock();
		const finish = (attempt: AttemptResult, attempts: number): AttemptResult => {
			onFinished({
				operation: call.operation,
				outcome: attempt.isOk() ? 'answered' : attempt.error.kind,
				attempts,
				milliseconds: clock() - startedAt,
			});
			return attempt;
		};

		const admission = await limit.acquire(timeoutMs);
		if (admission !== 'entered') {
			const detail = admission === 'queueFull' ? 'the queue of calls is full' : `no free place within ${timeoutMs} ms`;
			return finish(err({kind: 'unavailable', operation: call.operation, detail}), 0);
		}

		try {
			const {attempt, attempts} = await attemptWithRetries(call, startedAt);
			return finish(attempt, attempts);
		} finally {
			limit.release();
		}
	};
};
