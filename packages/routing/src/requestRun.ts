/**
 * Runs one request from its first attempt to its outcome, with retries, hedges, the deadline and
 * cancellation by the caller. It records whether any attempt may have run, since a request may be
 * refused as not run only if no attempt can have run.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {AttemptCause, AttemptOutcome, Send} from './attempt.js';
import type {AttemptBudget} from './attemptBudget.js';
import type {RouteDuration} from './durationEstimate.js';
import type {EndpointTracker} from './endpointTracker.js';
import {awaitHedged} from './hedgedAttempt.js';
import {hedgeDelayMs} from './hedgePolicy.js';
import {superviseProbe} from './probe.js';
import {hasFailed, reserveRetry} from './retryPolicy.js';
import type {RefusalReason, RoutedRequest, RouteOutcome} from './routedRequest.js';
import {type Lease, type RunningAttempt, startAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** A request that was refused before it got a slot. */
export type Refusal = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	readonly detail: string;
};

/** A request and the dependencies of its run. */
export type RunContext<Answer> = {
	readonly clock: Clock;
	readonly schedule: Schedule;
	readonly request: RoutedRequest;
	readonly duration: RouteDuration;
	readonly send: Send<Answer>;
	readonly retryBudget: AttemptBudget;
	readonly hedgeBudget: AttemptBudget;
	/** Waits for a slot of an endpoint that is not excluded. */
	readonly acquire: (excluded: readonly EndpointTracker[]) => Promise<Lease | Refusal>;
	/** Leases a slot for a hedge, outside the zone of the first attempt if possible; `undefined` when none is free. */
	readonly tryAcquireForHedge: (first: Lease) => Lease | undefined;
	/** Leases a slot of an ejected endpoint whose probe is due; `undefined` when there is none. */
	readonly tryAcquireProbe: () => Lease | undefined;
	/** Counts bytes sent to and received from an endpoint. */
	readonly countBytes: (tracker: EndpointTracker, sent: number, received: number) => void;
	/** Called at the start of each attempt. */
	readonly onAttempt: (cause: AttemptCause) => void;
};

const isRefusal = (result: Lease | Refusal): result is Refusal => 'kind' in result;

const outcomeMayHaveRun = (outcome: AttemptOutcome<unknown>): boolean =>
	outcome.kind === 'cancelled' ? outcome.written : outcome.kind !== 'not-run';

/**
 * Runs a request.
 *
 * @param context - The request, how to lease slots and how to send attempts.
 * @returns The outcome, as soon as it is decided; the body of an answer may still be in transit.
 */
export const runRequest = async <Answer>(context: RunContext<Answer>): Promise<RouteOutcome<Answer>> => {
	const {clock, schedule, request, duration, send, retryBudget, hedgeBudget, acquire, tryAcquireForHedge, tryAcquireProbe, countBytes, onAttempt} = context;
	const running = new Set<RunningAttempt<Answer>>();
	const excluded: EndpointTracker[] = [];
	let attempts = 0;
	let anyMayHaveRun = false;
	let endedBy: 'none' | 'deadline' | 'caller' = 'none';

	const remainingMs = () => request.deadlineAtMs - clock();

	const cancelAll = (cause: 'deadline' | 'caller') => {
		endedBy = endedBy === 'none' ? cause : endedBy;
		for (const attempt of running) {
			attempt.cancel();
		}
	};

	const removeWhenComplete = async (attempt: RunningAttempt<Answer>) => {
		const outcome = await attempt.outcome;
		if (outcome.kind === 'answered') {
			await outcome.completion;
		}

		running.delete(attempt);
		if (running.size === 0 && isSettled) {
			request.signal.removeEventListener('abort', onCallerDisconnect);
		}
	};

	const start = (lease: Lease, cause: AttemptCause): RunningAttempt<Answer> => {
		attempts += 1;
		onAttempt(cause);
		const attempt = startAttempt({
			clock, lease, duration, send, cause, number: attempts, remainingMs: remainingMs(),
			countBytes(sent, received) {
				countBytes(lease.tracker, sent, received);
			},
		});
		running.add(attempt);
		void removeWhenComplete(attempt);
		return attempt;
	};

	const startExtraAttempt = (cause: 'hedge' | 'probe', tryAcquire: () => Lease | undefined): RunningAttempt<Answer> | undefined => {
		if (endedBy !== 'none' || !hedgeBudget.hasTokens() || !retryBudget.hasTokens()) {
			return undefined;
		}

		const lease = tryAcquire();
		if (lease === undefined) {
			return undefined;
		}

		hedgeBudget.tryTake();
		retryBudget.tryTake();
		return start(lease, cause);
	};

	const startProbe = () => {
		const isSafeToRepeat = request.replayable && request.route.kind === 'idempotent';
		const probe = isSafeToRepeat ? startExtraAttempt('probe', tryAcquireProbe) : undefined;
		if (probe !== undefined) {
			anyMayHaveRun = true;
			void superviseProbe(probe, duration, schedule);
		}
	};

	const refusalOutcome = (reason: RefusalReason, detail: string): RouteOutcome<Answer> => anyMayHaveRun
		? {
			kind: 'in-doubt', reason: 'failed', detail, attempts,
		}
		: {
			kind: 'not-run', reason, detail, attempts,
		};

	const toRouteOutcome = (outcome: AttemptOutcome<Answer>, tracker: EndpointTracker): RouteOutcome<Answer> => {
		if (outcome.kind === 'answered') {
			return {
				kind: 'answered', status: outcome.status, answer: outcome.answer, endpoint: tracker.endpoint, attempts,
			};
		}

		if (outcome.kind === 'not-run') {
			return refusalOutcome(outcome.cause === 'refused' ? 'refusedByUpstream' : 'unreachable', outcome.reason);
		}

		if (endedBy === 'caller') {
			return {kind: 'cancelled', written: anyMayHaveRun, attempts};
		}

		if (endedBy === 'deadline') {
			return anyMayHaveRun
				? {
					kind: 'in-doubt', reason: 'deadline', detail: 'the deadline passed before an answer came', attempts,
				}
				: refusalOutcome('waitedTooLong', 'the deadline passed before the request was written');
		}

		return {
			kind: 'in-doubt', reason: 'failed', detail: outcome.kind === 'failed' ? outcome.reason : 'the attempt ended', attempts,
		};
	};

	const runAttempts = async (): Promise<RouteOutcome<Answer>> => {
		for (;;) {
			const lease = await acquire(excluded); // eslint-disable-line no-await-in-loop
			if (isRefusal(lease)) {
				return request.signal.aborted ? {kind: 'cancelled', written: anyMayHaveRun, attempts} : refusalOutcome(lease.reason, lease.detail);
			}

			if (endedBy !== 'none') {
				// The deadline passed or the caller disconnected between the wait and the start.
				lease.release();
				return endedBy === 'caller' ? {kind: 'cancelled', written: anyMayHaveRun, attempts} : refusalOutcome('waitedTooLong', 'the deadline passed before the request was sent');
			}

			const primary = start(lease, attempts === 0 ? 'first' : 'retry');
			startProbe();
			const {attempt, outcome, outcomes} = await awaitHedged({ // eslint-disable-line no-await-in-loop
				primary,
				delayMs: hedgeDelayMs(request, duration.firstByteWithFallback(lease.tracker.region)),
				schedule,
				startHedge: () => startExtraAttempt('hedge', () => tryAcquireForHedge(lease)),
			});
			// Also counts an attempt that failed before the one whose outcome is used.
			anyMayHaveRun ||= outcomes.some(ended => outcomeMayHaveRun(ended));
			excluded.push(attempt.lease.tracker, lease.tracker);
			const isRetryable = endedBy === 'none' && hasFailed(outcome);
			const retryContext = {
				request, outcome, attempts, remainingMs: remainingMs(), expectedSlotTimeMs: duration.meanSlotTimeMs(), budget: retryBudget,
			};
			if (!isRetryable || !reserveRetry(retryContext)) {
				return toRouteOutcome(outcome, attempt.lease.tracker);
			}

			attempt.cancel();
		}
	};

	let isSettled = false;
	const onCallerDisconnect = () => {
		cancelAll('caller');
	};

	const cancelDeadline = schedule(remainingMs(), () => {
		cancelAll('deadline');
	});
	request.signal.addEventListener('abort', onCallerDisconnect);
	const result = await runAttempts();
	isSettled = true;
	cancelDeadline();
	if (running.size === 0) {
		request.signal.removeEventListener('abort', onCallerDisconnect);
	}

	return result;
};
