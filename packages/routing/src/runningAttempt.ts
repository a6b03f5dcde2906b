/**
 * One attempt from its start to the end of its answer: holds the slot, and turns what is seen
 * into observations of the endpoint and of the route.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Attempt, AttemptOutcome, Send} from './attempt.js';
import type {RouteDuration} from './durationEstimate.js';
import type {EndpointTracker, Flight} from './endpointTracker.js';

/** A slot of an endpoint that is held for an attempt. */
export type Lease = {
	readonly tracker: EndpointTracker;
	readonly flight: Flight;
	/** Gives the slot back. */
	readonly release: () => void;
};

/** An attempt that has started. */
export type RunningAttempt<Answer> = {
	readonly lease: Lease;
	/** Settles with the answer's headers or the failure; never rejects. */
	readonly outcome: Promise<AttemptOutcome<Answer>>;
	/** Ends the attempt, its answer's body included. */
	readonly cancel: () => void;
};

/** Parameters of an attempt. */
export type AttemptStart<Answer> = Omit<Attempt, 'signal'> & {
	readonly clock: Clock;
	readonly lease: Lease;
	readonly duration: RouteDuration;
	readonly send: Send<Answer>;
};

/** Times under this are too short to judge an endpoint by. */
const smallestNormMs = 5;
const firstServerError = 500;

const slownessOf = (elapsedMs: number, medianMs: number | undefined): number =>
	medianMs === undefined ? 1 : elapsedMs / Math.max(smallestNormMs, medianMs);

const observe = (outcome: AttemptOutcome<unknown>, {tracker, flight}: Lease, duration: RouteDuration, nowMs: number): void => {
	const elapsedMs = nowMs - flight.startedAtMs;
	const firstByte = duration.firstByte(tracker.region);
	const slowness = slownessOf(elapsedMs, firstByte.medianMs());
	const isHealthy = tracker.health.state() === 'healthy';
	if ((outcome.kind === 'answered' || outcome.kind === 'not-run') && outcome.report !== undefined) {
		tracker.observeReport(outcome.report, nowMs, true);
	}

	if (outcome.kind === 'answered' && outcome.status < firstServerError) {
		tracker.recordAnswer(slowness);
		if (isHealthy) {
			firstByte.record(elapsedMs);
		}
	} else if (outcome.kind === 'answered' || outcome.kind === 'failed') {
		tracker.health.recordFailure();
	} else if (outcome.kind === 'cancelled') {
		tracker.health.recordUnanswered(slowness);
	} else if (outcome.cause === 'unreachable') {
		tracker.health.recordUnreachable();
	} else {
		tracker.recordRefusal();
	}
};

const trackCompletion = async (outcome: AttemptOutcome<unknown>, lease: Lease, duration: RouteDuration, clock: Clock) => {
	if (outcome.kind === 'answered') {
		const completion = await outcome.completion;
		if (completion === 'truncated') {
			lease.tracker.health.recordFailure();
		}

		duration.recordHeld(clock() - lease.flight.startedAtMs);
	}

	lease.release();
};

/**
 * Starts an attempt.
 *
 * @param start - The lease, the sender and what the sender is told.
 * @returns The running attempt; its lease is released when it has ended.
 */
export const startAttempt = <Answer>({clock, lease, duration, send, number, cause, remainingMs, countBytes}: AttemptStart<Answer>): RunningAttempt<Answer> => {
	const controller = new AbortController();
	const run = async () => {
		const outcome = await send(lease.tracker.endpoint, {
			number, cause, signal: controller.signal, remainingMs, countBytes,
		});
		lease.flight.hasAnswer = true;
		observe(outcome, lease, duration, clock());
		void trackCompletion(outcome, lease, duration, clock);
		return outcome;
	};

	return {
		lease,
		outcome: run(),
		cancel() {
			controller.abort();
		},
	};
};
