/**
 * Configuration of a load: entries, routes, tenants, rate and callers.
 */
import type {RequestClass, RouteKind} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';

/** A kind of request in the load. */
export type RouteLoad = {
	readonly name: string;
	readonly service: string;
	readonly method: string;
	/** Path with the path prefix of the service and an optional query. */
	readonly path: string;
	readonly kind: RouteKind;
	readonly requestClass: RequestClass;
	/** Relative frequency. */
	readonly weight: number;
	/** Size of the request body in bytes; 0 for no body. */
	readonly bodyBytes: number;
	/** Deadline sent with the request, in milliseconds; the caller's timeout is 1 s longer. */
	readonly deadlineMs: number;
};

/** A tenant and its share of the load. */
export type TenantLoad = {
	readonly name: string;
	/** Relative frequency. */
	readonly weight: number;
};

/** How callers select entries. `lookup`: by look-ups, which are cached. `fixed`: at random from `LoadPlan.entries`. */
export type EntryChoice = 'lookup' | 'fixed';

/** Configuration of a load. */
export type LoadPlan = {
	/** Entries that answer look-ups with `lookup`; all entries with `fixed`. The list is read again for each attempt or look-up. */
	readonly entries: readonly SocketAddress[];
	readonly entryChoice: EntryChoice;
	readonly routes: readonly RouteLoad[];
	readonly tenants: readonly TenantLoad[];
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Maximum number of requests; by default limited only by the duration. */
	readonly maximumRequests?: number;
	/** Number of callers, each with its own cache of look-ups. */
	readonly callers: number;
	/** Returns the client address that a caller, given by its index, sends with look-ups; by default that of the connection. */
	readonly callerAddress?: (caller: number) => string;
	/** Maximum number of attempts of an idempotent request, including the first. */
	readonly maximumAttempts: number;
	/** Maximum number of attempts of an at-most-once request, including the first. */
	readonly maximumAtMostOnceAttempts: number;
	readonly seed: number;
};

/** Default values for the fields of a load plan that most loads do not change. */
export const defaultLoadPlan = {
	entryChoice: 'lookup',
	tenants: [{name: 'default', weight: 1}],
	callers: 50,
	maximumAttempts: 3,
	maximumAtMostOnceAttempts: 30,
} as const satisfies Partial<LoadPlan>;
