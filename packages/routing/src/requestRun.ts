/**
 * One request from its first attempt to its outcome: retries, hedges, the deadline, and the
 * caller that goes away. It keeps account of whether any attempt may have run, since only a
 * request of which no attempt can have run may be refused as not run.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {AttemptCause, AttemptOutcome, Send} from './attempt.js';
import type {AttemptBudget} from './attemptBudget.js';
import type {RouteDuration} from './durationEstimate.js';
import type {EndpointTracker} from './endpointTracker.js';
import {awaitHedged} from './hedgedAttempt.js';
import {hedgeDelayMs} from './hedgePolicy.js';
import {watchProbe} from './probe.js';
import {hasFailed, takeRetry} from './retryPolicy.js';
import type {RefusalReason, RoutedRequest, RouteOutcome} from './routedRequest.js';
import {type Lease, type RunningAttempt, startAttempt} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** A refusal by the queue. */
export type Refusal = {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
	readonly detail: string;
};

/** What a request runs with. */
export type RunContext<Answer> = {
	readonly clock: Clock;
	readonly schedule: Schedule;
	readonly request: RoutedRequest;
	readonly duration: RouteDuration;
	readonly send: Send<Answer>;
	readonly retryBudget: AttemptBudget;
	readonly hedgeBudget: AttemptBudget;
	/** Waits for a slot, away from some endpoints. */
	readonly acquire: (excluded: readonly EndpointTracker[]) => Promise<Lease | Refusal>;
	/** Takes a slot in another zone than that of a lease, if one is free now. */
	readonly tryAcquireElsewhere: (first: Lease) => Lease | undefined;
	/** Takes a slot of an ejected endpoint that is due for a probe. */
	readonly tryAcquireProbe: () => Lease | undefined;
	readonly countBytes: (tracker: EndpointTracker, sent: number, received: number) => void;
	readonly onAttempt: (cause: AttemptCause) => void;
};

const isRefusal = (result: Lease | Refusal): result is Refusal => 'kind' in result;

const mayHaveRun = (outcome: AttemptOutcome<unknown>): boolean =>
	outcome.kind === 'cancelled' ? outcome.written : outcome.kind !== 'not-run';

/**
 * Runs a request.
 *
 * @param context - The request, how to get slots and how to send.
 * @returns The outcome; an answer's body may still be on its way.
 */
export const runRequest = async <Answer>(context: RunContext<Answer>): Promise<RouteOutcome<Answer>> => {
	const {clock, schedule, request, duration, send, retryBudget, hedgeBudget, acquire, tryAcquireElsewhere, tryAcquireProbe, countBytes, onAttempt} = context;
	const running = new Set<RunningAttempt<Answer>>();
	const excluded: EndpointTracker[] = [];
	let attempts = 0;
	let ranPerhaps = false;
	let endedBy: 'none' | 'deadline' | 'caller' = 'none';

	const remainingMs = () => request.deadlineAtMs - clock();

	const endAll = (cause: 'deadline' | 'caller') => {
		endedBy = endedBy === 'none' ? cause : endedBy;
		for (const attempt of running) {
			attempt.cancel();
		}
	};

	const forgetWhenDone = async (attempt: RunningAttempt<Answer>) => {
		const outcome = await attempt.outcome;
		if (outcome.kind === 'answered') {
			await outcome.completion;
		}

		running.delete(attempt);
		if (running.size === 0 && isOver) {
			request.signal.removeEventListener('abort', onCallerGone);
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
		void forgetWhenDone(attempt);
		return attempt;
	};

	const startExtra = (cause: 'hedge' | 'probe', take: () => Lease | undefined): RunningAttempt<Answer> | undefined => {
		if (endedBy !== 'none' || !hedgeBudget.hasRoom() || !retryBudget.hasRoom()) {
			return undefined;
		}

		const lease = take();
		if (lease === undefined) {
			return undefined;
		}

		hedgeBudget.tryTake();
		retryBudget.tryTake();
		return start(lease, cause);
	};

	const startProbe = () => {
		const isSafe = request.replayable && request.route.kind === 'idempotent';
		const probe = isSafe ? startExtra('probe', tryAcquireProbe) : undefined;
		if (probe !== undefined) {
			ranPerhaps = true;
			void watchProbe(probe, duration, schedule);
		}
	};

	const refused = (reason: RefusalReason, detail: string): RouteOutcome<Answer> => ranPerhaps
		? {
			kind: 'in-doubt', reason: 'failed', detail, attempts,
		}
		: {
			kind: 'not-run', reason, detail, attempts,
		};

	const conclude = (outcome: AttemptOutcome<Answer>, tracker: EndpointTracker): RouteOutcome<Answer> => {
		if (outcome.kind === 'answered') {
			return {
				kind: 'answered', status: outcome.status, answer: outcome.answer, endpoint: tracker.endpoint, attempts,
			};
		}

		if (outcome.kind === 'not-run') {
			return refused(outcome.cause === 'refused' ? 'refusedByUpstream' : 'unreachable', outcome.reason);
		}

		if (endedBy === 'caller') {
			return {kind: 'cancelled', written: ranPerhaps, attempts};
		}

		if (endedBy === 'deadline') {
			return ranPerhaps
				? {
					kind: 'in-doubt', reason: 'deadline', detail: 'the deadline passed before an answer came', attempts,
				}
				: refused('waitedTooLong', 'the deadline passed before the request was written');
		}

		return {
			kind: 'in-doubt', reason: 'failed', detail: outcome.kind === 'failed' ? outcome.reason : 'the attempt ended', attempts,
		};
	};

	const runAttempts = async (): Promise<RouteOutcome<Answer>> => {
		for (;;) {
			const lease = await acquire(excluded); // eslint-disable-line no-await-in-loop
			if (isRefusal(lease)) {
				return request.signal.aborted ? {kind: 'cancelled', written: ranPerhaps, attempts} : refused(lease.reason, lease.detail);
			}

			if (endedBy !== 'none') {
				// The deadline or the caller came between the wait and the start.
				lease.release();
				return endedBy === 'caller' ? {kind: 'cancelled', written: ranPerhaps, attempts} : refused('waitedTooLong', 'the deadline passed before the request was sent');
			}

			const primary = start(lease, attempts === 0 ? 'first' : 'retry');
			startProbe();
			const {attempt, outcome, outcomes} = await awaitHedged({ // eslint-disable-line no-await-in-loop
				primary,
				delayMs: hedgeDelayMs(request, duration.firstByteOrAny(lease.tracker.region)),
				schedule,
				startSecond: () => startExtra('hedge', () => tryAcquireElsewhere(lease)),
			});
			// Settled outcomes of a lost hedge count too.
			ranPerhaps ||= outcomes.some(seen => mayHaveRun(seen));
			excluded.push(attempt.lease.tracker, lease.tracker);
			const isOpen = endedBy === 'none' && hasFailed(outcome);
			const question = {
				request, outcome, attempts, remainingMs: remainingMs(), expectedMs: duration.meanHeldMs(), budget: retryBudget,
			};
			if (!isOpen || !takeRetry(question)) {
				return conclude(outcome, attempt.lease.tracker);
			}

			attempt.cancel();
		}
	};

	let isOver = false;
	const onCallerGone = () => {
		endAll('caller');
	};

	const cancelDeadline = schedule(remainingMs(), () => {
		endAll('deadline');
	});
	request.signal.addEventListener('abort', onCallerGone);
	const result = await runAttempts();
	isOver = true;
	cancelDeadline();
	if (running.size === 0) {
		request.signal.removeEventListener('abort', onCallerGone);
	}

	return result;
};
