/**
 * Runs one attempt from its start to the end of its answer: holds the slot, and records the outcome
 * and its duration for the endpoint and the route.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {Attempt, AttemptOutcome, Send} from './attempt.js';
import type {RouteDuration} from './durationEstimate.js';
import type {EndpointTracker, InFlightRequest} from './endpointTracker.js';

/** Lease of an endpoint slot for one attempt. */
export type Lease = {
	readonly tracker: EndpointTracker;
	readonly inFlightRequest: InFlightRequest;
	/** Releases the slot; further calls have no effect. */
	readonly release: () => void;
};

/** A started attempt. */
export type RunningAttempt<Answer> = {
	readonly lease: Lease;
	/** Resolves when the answer's headers have arrived or the attempt has failed; never rejects. */
	readonly outcome: Promise<AttemptOutcome<Answer>>;
	/** Aborts the attempt, including the body of its answer. */
	readonly cancel: () => void;
};

/** Parameters of an attempt, including those passed to the sender. */
export type AttemptOptions<Answer> = Omit<Attempt, 'signal'> & {
	readonly clock: Clock;
	readonly lease: Lease;
	readonly duration: RouteDuration;
	readonly send: Send<Answer>;
};

/** Lower bound of the median in a latency ratio; differences between shorter times are not significant. */
const minimumMedianMs = 5;
const firstServerErrorStatus = 500;

const latencyRatioOf = (elapsedMs: number, medianMs: number | undefined): number =>
	medianMs === undefined ? 1 : elapsedMs / Math.max(minimumMedianMs, medianMs);

const recordOutcome = (outcome: AttemptOutcome<unknown>, {tracker, inFlightRequest}: Lease, duration: RouteDuration, nowMs: number): void => {
	const elapsedMs = nowMs - inFlightRequest.startedAtMs;
	const firstByte = duration.firstByte(tracker.region);
	const latencyRatio = latencyRatioOf(elapsedMs, firstByte.medianMs());
	const isHealthy = tracker.health.state() === 'healthy';
	if ((outcome.kind === 'answered' || outcome.kind === 'not-run') && outcome.report !== undefined) {
		tracker.observeReport(outcome.report, nowMs, true);
	}

	if (outcome.kind === 'answered' && outcome.status < firstServerErrorStatus) {
		tracker.recordAnswer(latencyRatio);
		if (isHealthy) {
			firstByte.record(elapsedMs);
		}
	} else if (outcome.kind === 'answered' || outcome.kind === 'failed') {
		tracker.health.recordFailure();
	} else if (outcome.kind === 'cancelled') {
		tracker.health.recordUnanswered(latencyRatio);
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

		duration.recordSlotTime(clock() - lease.inFlightRequest.startedAtMs);
	}

	lease.release();
};

/**
 * Starts an attempt.
 *
 * @param options - The lease, the sender and the values passed to the sender.
 * @returns The running attempt. Its lease is released when the attempt and its body have ended.
 */
export const startAttempt = <Answer>({clock, lease, duration, send, number, cause, remainingMs, countBytes}: AttemptOptions<Answer>): RunningAttempt<Answer> => {
	const controller = new AbortController();
	const run = async () => {
		const outcome = await send(lease.tracker.endpoint, {
			number, cause, signal: controller.signal, remainingMs, countBytes,
		});
		lease.inFlightRequest.isAnswered = true;
		recordOutcome(outcome, lease, duration, clock());
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
