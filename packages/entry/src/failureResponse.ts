/**
 * Builds responses to requests for which no upstream's response is available.
 */
import type {RefusalReason, RouteOutcome} from '@filbertwell/routing/routedRequest';
import type {OrderOutcome} from '@filbertwell/orders/orders';
import {type LocalResponse, problemResponse} from './localResponse.js';

const retryAfterSeconds = 1;

const refusalStatuses: Readonly<Record<RefusalReason, number>> = {
	unknownService: 404,
	noZone: 503,
	deadlineTooShort: 503,
	queueFull: 503,
	displaced: 503,
	waitedTooLong: 503,
	noEndpoint: 503,
	refusedByUpstream: 503,
	unreachable: 503,
};

/** Outcome of a routed request without a response from an upstream. */
export type RouteFailure = Exclude<RouteOutcome<unknown>, {readonly kind: 'answered'}>;

/**
 * Builds the response to a routed request that no upstream responded to.
 *
 * @param outcome - Outcome of the routing.
 * @returns The error response: 404 or 503 if the request did not run, 502 or 504 if it may have run, 499 if it was cancelled.
 */
export const routeFailureResponse = (outcome: RouteFailure): LocalResponse => {
	switch (outcome.kind) {
		case 'not-run': {
			return {...problemResponse(refusalStatuses[outcome.reason], 'not-run', outcome.reason, outcome.detail), retryAfterSeconds};
		}

		case 'in-doubt': {
			return problemResponse(outcome.reason === 'deadline' ? 504 : 502, 'in-doubt', outcome.reason, outcome.detail);
		}

		case 'cancelled': {
			return problemResponse(499, outcome.written ? 'in-doubt' : 'not-run', 'cancelled', 'the caller has gone');
		}
	}
};

/** Outcome of an at-most-once request without a response from an upstream. */
export type OrderFailure = Exclude<OrderOutcome, {readonly kind: 'answered' | 'replayed'}>;

/**
 * Builds the response to an at-most-once request that has no response from an upstream.
 *
 * @param outcome - Outcome of the request.
 * @param service - Name of the service.
 * @param key - The caller's idempotency key.
 * @returns The error response; if it is unknown whether the request ran, its body has the path of the status query.
 */
export const orderFailureResponse = (outcome: OrderFailure, service: string, key: string): LocalResponse => {
	switch (outcome.kind) {
		case 'not-run': {
			return {...problemResponse(503, 'not-run', 'notRun', outcome.reason), retryAfterSeconds};
		}

		case 'in-doubt': {
			const ask = `/orders?service=${encodeURIComponent(service)}&key=${encodeURIComponent(key)}`;
			return {status: 504, outcome: 'in-doubt', body: {problem: 'inDoubt', detail: `${outcome.reason}; ask at "ask" or send the request again with the same key`, ask}};
		}

		case 'key-conflict': {
			return problemResponse(422, 'invalid', 'keyConflict', outcome.reason);
		}
	}
};
