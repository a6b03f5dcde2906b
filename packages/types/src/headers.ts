/**
 * HTTP headers of the interfaces to callers and upstreams, in lower case.
 */

/** Milliseconds that remain until the caller stops waiting; shortened on the way upstream. */
export const deadlineHeader = 'x-filbertwell-deadline-ms';

/** The caller's key for an at-most-once request. */
export const idempotencyKeyHeader = 'idempotency-key';

/** The caller's number of this attempt, from 1. */
export const attemptHeader = 'x-filbertwell-attempt';

/** The tenant that a request counts for. */
export const tenantHeader = 'x-filbertwell-tenant';

/** Unique id of a request, given by the caller or made by the entry; passed upstream. */
export const requestIdHeader = 'x-filbertwell-request-id';

/** What became of a request; set on each answer that an entry makes itself. */
export const outcomeHeader = 'x-filbertwell-outcome';

/** Set by an upstream that refuses a request before running it, with the value `not-run`. */
export const upstreamOutcomeHeader = 'x-upstream-outcome';

/** Load report on an upstream's answers, as `JSON.stringify(LoadReport)`. */
export const loadHeader = 'x-upstream-load';

/**
 * What became of a request.
 * `not-run`: no upstream ran it. `in-doubt`: it may have run; ask again with the same key.
 * `replayed`: the kept answer of an earlier attempt. `invalid`: the request itself is wrong
 * and did not run. `answered`: the entry's own answer, as to a look-up.
 */
export type OutcomeHeader = 'not-run' | 'in-doubt' | 'replayed' | 'invalid' | 'answered';
