/**
 * What callers keep of their requests, so that it can be set against the upstreams' ledgers.
 */
import type {RequestClass, RouteKind} from '@filbertwell/types/intent';

/**
 * What one attempt of a caller saw.
 * `unreachable`: no connection. `lost`: connected, no answer. `cut-off`: the answer stopped
 * short. `timed-out`: the caller stopped waiting. `foreign`: a whole answer to another request.
 * The others are answers; `not-run`, `in-doubt`, `invalid` and `replayed` as the entry says.
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
	/** HTTP status; `undefined` without an answer. */
	readonly status: number | undefined;
	/** Bytes of the answer's body. */
	readonly bytes: number;
	/** Reason that the entry or the connection gave, shortened. */
	readonly detail: string;
};

/** What became of a request in the end. */
export type RequestOutcome = 'answered' | 'not-run' | 'in-doubt' | 'invalid' | 'no-answer';

/** A request with all its attempts. */
export type RequestRecord = {
	readonly id: string;
	readonly key: string | undefined;
	readonly service: string;
	readonly route: string;
	readonly kind: RouteKind;
	readonly requestClass: RequestClass;
	readonly tenant: string;
	/** When it was to start, in milliseconds after the start of the load. */
	readonly intendedAtMs: number;
	/** From the intended start to the end of the last attempt. */
	readonly latencyMs: number;
	readonly outcome: RequestOutcome;
	readonly status: number | undefined;
	/** Whether an in-doubt request could be asked after; `undefined` for others. */
	readonly askable: boolean | undefined;
	readonly attempts: readonly AttemptRecord[];
};
