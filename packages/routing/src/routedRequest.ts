/**
 * A request as the router receives it, and its outcome.
 */
import type {Endpoint, Route} from '@filbertwell/types/intent';

/** A request to be routed. */
export type RoutedRequest = {
	readonly service: string;
	readonly route: Route;
	readonly tenant: string;
	/** Deadline, in milliseconds on the router's clock. */
	readonly deadlineAtMs: number;
	/** Aborted when the caller has disconnected. */
	readonly signal: AbortSignal;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
};

/** Why a request was refused without being run. */
export type RefusalReason =
	| 'unknownService'
	| 'noZone'
	| 'deadlineTooShort'
	| 'queueFull'
	| 'displaced'
	| 'waitedTooLong'
	| 'noEndpoint'
	| 'refusedByUpstream'
	| 'unreachable';

/**
 * Outcome of a request. `not-run`: no endpoint ran it. `in-doubt`: an endpoint may have run it.
 * `cancelled`: the caller disconnected; `written` tells whether an endpoint may have run it.
 */
export type RouteOutcome<Answer> =
	| {readonly kind: 'answered'; readonly status: number; readonly answer: Answer; readonly endpoint: Endpoint; readonly attempts: number}
	| {readonly kind: 'not-run'; readonly reason: RefusalReason; readonly detail: string; readonly attempts: number}
	| {readonly kind: 'in-doubt'; readonly reason: 'deadline' | 'failed'; readonly detail: string; readonly attempts: number}
	| {readonly kind: 'cancelled'; readonly written: boolean; readonly attempts: number};
