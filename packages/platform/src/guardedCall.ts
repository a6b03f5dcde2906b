/**
 * Runs one call to the platform under its limits: bounded concurrency, circuit breaker, total
 * time and retries. A call that writes is sent again only if that cannot apply it twice.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {err, ok, type Result} from 'neverthrow';
import type {Circuit} from './circuit.js';
import type {ConcurrencyLimit} from './concurrencyLimit.js';
import type {ExchangeOutcome} from './httpExchange.js';
import type {PlatformError, PlatformErrorKind} from './platformError.js';

/**
 * What a repeated call does. `read`: changes nothing. `idempotentWrite`: has the same effect as
 * one call. `conditionalWrite`: its conditions may fail because of its own first effect.
 */
export type CallKind = 'read' | 'idempotentWrite' | 'conditionalWrite';

/** A finished call, for metrics. */
export type FinishedCall = {
	readonly operation: string;
	readonly outcome: 'answered' | PlatformErrorKind;
	readonly attempts: number;
	/** Time in the queue and in all attempts. */
	readonly milliseconds: number;
};

/** One call. */
export type GuardedCall = {
	readonly operation: string;
	readonly kind: CallKind;
	/** Sends the request once, within a time limit in milliseconds. */
	readonly send: (timeoutMs: number) => Promise<ExchangeOutcome>;
};

/** An answer that the platform meant. */
export type Answer = {
	readonly status: number;
	readonly body: string;
};

/** Parameters of guarded calls. */
export type CallGuardOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Limit of a whole call, queue and retries included. */
	readonly timeoutMs: number;
	readonly circuit: Circuit;
	readonly limit: ConcurrencyLimit;
	/** Waits between attempts. */
	readonly wait: (milliseconds: number) => Promise<void>;
	readonly onFinished: (call: FinishedCall) => void;
};

const maximumAttempts = 3;
const firstRetryDelayMs = 20;
const serviceUnavailable = 503;
const firstServerError = 500;
const firstClientError = 400;
const notFound = 404;

type Attempt = Result<Answer, PlatformError>;

const classify = (operation: string, kind: CallKind, outcome: ExchangeOutcome): Attempt => {
	const fail = (errorKind: PlatformErrorKind, detail: string): Attempt => err({kind: errorKind, operation, detail});
	if (outcome.kind === 'notSent') {
		return fail('unavailable', outcome.detail);
	}

	const lostKind = kind === 'read' ? 'unavailable' : 'unknown';
	if (outcome.kind === 'lost') {
		return fail(lostKind, outcome.detail);
	}

	const {status, body} = outcome;
	if (status === serviceUnavailable) {
		return fail('unavailable', `status 503: ${body}`);
	}

	if (status >= firstServerError) {
		return fail(lostKind, `status ${status}: ${body}`);
	}

	return status >= firstClientError && status !== notFound
		? fail('invalid', `status ${status}: ${body}`)
		: ok({status, body});
};

const mayRepeat = (kind: CallKind, error: PlatformError): boolean => {
	if (error.kind === 'invalid') {
		return false;
	}

	return error.kind === 'unavailable' || kind !== 'conditionalWrite';
};

/**
 * Creates the function that runs calls to one service of the platform.
 *
 * @param options - Limits, circuit breaker and clock.
 * @returns Runs a call; never rejects.
 */
export const createCallGuard = ({clock, random, timeoutMs, circuit, limit, wait, onFinished}: CallGuardOptions) => {
	const attemptOnce = async (call: GuardedCall, remainingMs: number): Promise<Attempt> => {
		if (!circuit.tryPass()) {
			return err({kind: 'unavailable', operation: call.operation, detail: 'the circuit breaker is open after repeated failures'});
		}

		// A call that may be repeated keeps time for a second attempt.
		const attemptMs = call.kind === 'conditionalWrite' ? remainingMs : Math.max(remainingMs / 2, 1);
		const attempt = classify(call.operation, call.kind, await call.send(attemptMs));
		if (attempt.isErr() && attempt.error.kind !== 'invalid') {
			circuit.failed();
		} else {
			circuit.succeeded();
		}

		return attempt;
	};

	const attemptRepeatedly = async (call: GuardedCall, startedAt: number): Promise<{attempt: Attempt; attempts: number}> => {
		let delayMs = firstRetryDelayMs;
		let mayHaveTakenEffect = false;
		for (let attempts = 1; ; attempts += 1) {
			// Attempts follow each other by nature.
			const attempt = await attemptOnce(call, Math.max(1, timeoutMs - (clock() - startedAt))); // eslint-disable-line no-await-in-loop
			if (attempt.isOk()) {
				return {attempt, attempts};
			}

			mayHaveTakenEffect ||= attempt.error.kind === 'unknown';
			const waitMs = delayMs * (0.5 + random());
			const outOfTime = clock() - startedAt + waitMs >= timeoutMs;
			if (attempts === maximumAttempts || outOfTime || circuit.state() === 'open' || !mayRepeat(call.kind, attempt.error)) {
				// An earlier attempt may have taken effect even if the last one did not.
				const kind = mayHaveTakenEffect ? 'unknown' : attempt.error.kind;
				return {attempt: err({...attempt.error, kind}), attempts};
			}

			await wait(waitMs); // eslint-disable-line no-await-in-loop
			delayMs *= 2;
		}
	};

	return async (call: GuardedCall): Promise<Result<Answer, PlatformError>> => {
		const startedAt = clock();
		const finish = (attempt: Attempt, attempts: number): Attempt => {
			onFinished({
				operation: call.operation,
				outcome: attempt.isOk() ? 'answered' : attempt.error.kind,
				attempts,
				milliseconds: clock() - startedAt,
			});
			return attempt;
		};

		const entrance = await limit.enter(timeoutMs);
		if (entrance !== 'entered') {
			const detail = entrance === 'queueFull' ? 'the queue of calls is full' : `no free place within ${timeoutMs} ms`;
			return finish(err({kind: 'unavailable', operation: call.operation, detail}), 0);
		}

		try {
			const {attempt, attempts} = await attemptRepeatedly(call, startedAt);
			return finish(attempt, attempts);
		} finally {
			limit.leave();
		}
	};
};
