/**
 * Records of callers' requests, which are compared with the upstreams' ledgers.
 */
import type {RequestClass, RouteKind} from '@filbertwell/types/intent';

/**
 * Outcome of one attempt, as observed by the caller.
 * `unreachable`: no connection. `lost`: connected, but no response. `cut-off`: the response was
 * incomplete. `timed-out`: the caller's timeout expired. `foreign`: a complete response to another request.
 * `not-run`, `in-doubt`, `invalid` and `replayed`: as stated in the outcome header of the entry.
 * `answered`: any other complete response.
 */
export type AttemptOutcome =
	| 'answered' | 'replayed' | 'not-run' | 'in-doubt' | 'invalid'
	| 'unreachable' | 'lost' | 'cut-off' | 'timed-out' | 'foreign';

/** One attempt of a request. */
export type AttemptRecord = {
	/** Sent as the request id; unique for each attempt. */
	readonly requestId: string;
	/** Address of the entry. */
	readonly address: string;
	readonly outcome: AttemptOutcome;
	/** HTTP status; `undefined` without a response. */
	readonly status: number | undefined;
	/** Length of the response body in UTF-16 code units, which is its size in bytes if it is ASCII. */
	readonly bytes: number;
	/** Error of the entry or the connection; text from the entry is truncated. */
	readonly detail: string;
};

/** Final outcome of a request after all its attempts. */
export type RequestOutcome = 'answered' | 'not-run' | 'in-doubt' | 'invalid' | 'no-answer';

/** A request and its attempts. */
export type RequestRecord = {
	readonly id: string;
	/** Idempotency key; `undefined` for idempotent routes. */
	readonly key: string | undefined;
	readonly service: string;
	readonly route: string;
	readonly kind: RouteKind;
	readonly requestClass: RequestClass;
	readonly tenant: string;
	/** Intended start time, in milliseconds since the start of the load. */
	readonly intendedAtMs: number;
	/** Time from the intended start to the final outcome. */
	readonly latencyMs: number;
	readonly outcome: RequestOutcome;
	readonly status: number | undefined;
	/** Whether an entry reported the state of the request's key; `undefined` if the state was not queried. */
	readonly isStateKnown: boolean | undefined;
	readonly attempts: readonly AttemptRecord[];
};
