/**
 * Answers for requests that no upstream answered.
 */
import type {RefusalReason, RouteOutcome} from '@filbertwell/routing/routedRequest';
import type {OrderOutcome} from '@filbertwell/orders/orders';
import {type OwnAnswer, problemAnswer} from './answer.js';

const retryAfterSeconds = 1;

const statusOfRefusal: Readonly<Record<RefusalReason, number>> = {
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

/** An outcome without an upstream's answer. */
export type Unanswered = Exclude<RouteOutcome<unknown>, {readonly kind: 'answered'}>;

/**
 * Answers a request that was not answered by an upstream.
 *
 * @param outcome - What became of it.
 * @returns The answer.
 */
export const answerUnanswered = (outcome: Unanswered): OwnAnswer => {
	switch (outcome.kind) {
		case 'not-run': {
			return {...problemAnswer(statusOfRefusal[outcome.reason], 'not-run', outcome.reason, outcome.detail), retryAfterSeconds};
		}

		case 'in-doubt': {
			return problemAnswer(outcome.reason === 'deadline' ? 504 : 502, 'in-doubt', outcome.reason, outcome.detail);
		}

		case 'cancelled': {
			return problemAnswer(499, outcome.written ? 'in-doubt' : 'not-run', 'cancelled', 'the caller has gone');
		}
	}
};

/** An at-most-once outcome without an upstream's answer. */
export type UnansweredOrder = Exclude<OrderOutcome, {readonly kind: 'answered' | 'replayed'}>;

/**
 * Answers an at-most-once request that has no upstream's answer.
 *
 * @param outcome - What became of it.
 * @param service - Name of the service.
 * @param key - The caller's key.
 * @returns The answer; in doubt, it names where to ask.
 */
export const answerUnansweredOrder = (outcome: UnansweredOrder, service: string, key: string): OwnAnswer => {
	switch (outcome.kind) {
		case 'not-run': {
			return {...problemAnswer(503, 'not-run', 'notRun', outcome.reason), retryAfterSeconds};
		}

		case 'in-doubt': {
			const ask = `/orders?service=${encodeURIComponent(service)}&key=${encodeURIComponent(key)}`;
			return {status: 504, outcome: 'in-doubt', body: {problem: 'inDoubt', detail: `${outcome.reason}; ask at "ask" or send the request again with the same key`, ask}};
		}

		case 'key-conflict': {
			return problemAnswer(422, 'invalid', 'keyConflict', outcome.reason);
		}
	}
};
