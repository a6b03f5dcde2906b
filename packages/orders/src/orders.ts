/**
 * At-most-once requests. An order is a request with an idempotency key: it is run at most once, and
 * resends with the same key receive the kept answer.
 */

/** An answer that is kept for resends. */
export type KeptAnswer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [name: string, value: string]>;
	/** Body in base64. */
	readonly body: string;
};

/** Result of the only dispatch of a request. */
export type DispatchOutcome =
	| {readonly kind: 'answered'; readonly answer: KeptAnswer}
	| {readonly kind: 'not-run'; readonly reason: string}
	| {readonly kind: 'in-doubt'; readonly reason: string};

/** One attempt of a request with the caller's idempotency key. */
export type Order = {
	readonly service: string;
	readonly tenant: string;
	readonly key: string;
	/** Hash of method, path and body; a request with the same key and a different hash is rejected. */
	readonly fingerprint: string;
	/** Number that the caller gives this attempt, if any; 1 for the first. */
	readonly attempt: number | undefined;
	/** Policy while the table is unavailable: no attempt runs, or only a first attempt runs, without a claim. */
	readonly claimOutage: 'refuse' | 'firstAttempt';
	/** Milliseconds until the caller stops waiting. */
	readonly remainingMs: number;
	/** Whether the caller has left, so that nobody waits for the outcome any more. */
	readonly isAbandoned: () => boolean;
	/** Runs the request. Called at most once, with the claim held unless `claimOutage` allows a first attempt without it. */
	readonly dispatch: () => Promise<DispatchOutcome>;
};

/** Outcome of an attempt as reported to the caller. */
export type OrderOutcome =
	| {readonly kind: 'answered'; readonly answer: KeptAnswer}
	| {readonly kind: 'replayed'; readonly answer: KeptAnswer}
	| {readonly kind: 'not-run'; readonly reason: string}
	| {readonly kind: 'in-doubt'; readonly reason: string}
	| {readonly kind: 'key-conflict'; readonly reason: string};

/** State of an idempotency key as reported to a caller. */
export type OrderState = 'absent' | 'claimed' | 'done' | 'released' | 'unavailable';

/** Runs requests at most once. */
export type Orders = {
	/** Runs one attempt, or answers it from the outcome of another attempt with the same key. */
	readonly submit: (order: Order) => Promise<OrderOutcome>;
	/** Returns the state of a key, and its kept answer if there is one, without running a request. */
	readonly query: (service: string, tenant: string, key: string) => Promise<{readonly state: OrderState; readonly answer: KeptAnswer | undefined}>;
	/** Waits for pending outcomes to be written, up to a limit, then drops the rest. */
	readonly stop: () => Promise<void>;
};
