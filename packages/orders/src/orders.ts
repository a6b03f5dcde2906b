/**
 * At-most-once requests.
 */

/** An answer that is kept for resends. */
export type KeptAnswer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	/** Body in base64. */
	readonly body: string;
};

/** What became of the one dispatch of a request. */
export type DispatchOutcome =
	| {readonly kind: 'answered'; readonly answer: KeptAnswer}
	| {readonly kind: 'not-run'; readonly reason: string}
	| {readonly kind: 'in-doubt'; readonly reason: string};

/** A request under its caller's key. */
export type Order = {
	readonly service: string;
	readonly tenant: string;
	readonly key: string;
	/** Hash of method, path and body; another one under the same key is refused. */
	readonly fingerprint: string;
	/** The caller's number of this attempt, if it gives one. */
	readonly attempt: number | undefined;
	readonly claimOutage: 'refuse' | 'firstAttempt';
	/** Milliseconds until the caller stops waiting. */
	readonly remainingMs: number;
	/** Runs the request once. Called at most once, and only while the claim is held. */
	readonly dispatch: () => Promise<DispatchOutcome>;
};

/** What the caller is told. */
export type OrderOutcome =
	| {readonly kind: 'answered'; readonly answer: KeptAnswer}
	| {readonly kind: 'replayed'; readonly answer: KeptAnswer}
	| {readonly kind: 'not-run'; readonly reason: string}
	| {readonly kind: 'in-doubt'; readonly reason: string}
	| {readonly kind: 'key-conflict'; readonly reason: string};

/** State of a key for a caller who asks after it. */
export type OrderState = 'absent' | 'claimed' | 'done' | 'released' | 'unavailable';

/** Runs requests at most once. */
export type Orders = {
	readonly submit: (order: Order) => Promise<OrderOutcome>;
	/** Asks after a key without running anything. */
	readonly ask: (service: string, tenant: string, key: string) => Promise<{readonly state: OrderState; readonly answer: KeptAnswer | undefined}>;
	readonly stop: () => Promise<void>;
};
