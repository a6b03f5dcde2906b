/**
 * What a load consists of.
 */
import type {RequestClass, RouteKind} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';

/** One kind of request. */
export type RouteLoad = {
	readonly name: string;
	readonly service: string;
	readonly method: string;
	/** Path with the service's prefix and, where wanted, a query. */
	readonly path: string;
	readonly kind: RouteKind;
	readonly requestClass: RequestClass;
	/** Relative frequency. */
	readonly weight: number;
	/** Bytes of the request's body; 0 for none. */
	readonly bodyBytes: number;
	/** Sent in the deadline header; the caller waits a little longer. */
	readonly deadlineMs: number;
};

/** A tenant's part of the load. */
export type TenantLoad = {
	readonly name: string;
	/** Relative frequency. */
	readonly weight: number;
};

/** How callers find entries: `lookup` asks and caches the answer, `fixed` takes random addresses. */
export type EntryChoice = 'lookup' | 'fixed';

/** A load. */
export type LoadPlan = {
	/** Entries to ask first with `lookup`; all entries with `fixed`. Read anew for each attempt. */
	readonly entries: readonly SocketAddress[];
	readonly entryChoice: EntryChoice;
	readonly routes: readonly RouteLoad[];
	readonly tenants: readonly TenantLoad[];
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Requests at most; no limit but the duration where absent. */
	readonly maximumRequests?: number;
	/** Callers that each cache their own look-ups. */
	readonly callers: number;
	/** Client address that caller number i tells look-ups; its own connection's where absent. */
	readonly callerAddress?: (caller: number) => string;
	/** Attempts of one request at most, the first included. */
	readonly maximumAttempts: number;
	/** Attempts of one at-most-once request at most. */
	readonly maximumOrderAttempts: number;
	readonly seed: number;
};

/** A mix of reads and orders with the parts that are usually left as they are. */
export const defaultLoadPlan = {
	entryChoice: 'lookup',
	tenants: [{name: 'default', weight: 1}],
	callers: 50,
	maximumAttempts: 3,
	maximumOrderAttempts: 30,
} as const satisfies Partial<LoadPlan>;
