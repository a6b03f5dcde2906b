/**
 * A request as the router sees it, and what became of it.
 */
import type {Endpoint, Route} from '@filbertwell/types/intent';

/** A request to be routed. */
export type RoutedRequest = {
	readonly service: string;
	readonly route: Route;
	readonly tenant: string;
	/** When the caller stops waiting, on the router's clock. */
	readonly deadlineAtMs: number;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
	/** Whether the body can be sent a second time. */
	readonly replayable: boolean;
};

/** Why a request was refused before any endpoint ran it. */
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
 * What became of a request. `not-run`: no endpoint ran it. `in-doubt`: one may have run it.
 * `cancelled`: the caller has gone.
 */
export type RouteOutcome<Answer> =
	| {readonly kind: 'answered'; readonly status: number; readonly answer: Answer; readonly endpoint: Endpoint; readonly attempts: number}
	| {readonly kind: 'not-run'; readonly reason: RefusalReason; readonly detail: string; readonly attempts: number}
	| {readonly kind: 'in-doubt'; readonly reason: 'deadline' | 'failed'; readonly detail: string; readonly attempts: number}
	| {readonly kind: 'cancelled'; readonly written: boolean; readonly attempts: number};
