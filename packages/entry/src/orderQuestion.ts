/**
 * Answers questions after an at-most-once request: `GET /orders?service=NAME&key=KEY`.
 */
import type {Orders} from '@filbertwell/orders/orders';
import {type OwnAnswer, problemAnswer} from './answer.js';

/**
 * Asks after a key without running anything.
 *
 * @param orders - The at-most-once requests.
 * @param query - Query with `service` and `key`.
 * @param tenant - Tenant of the caller.
 * @returns The state of the key, and the kept answer if there is one.
 */
export const answerOrderQuestion = async (orders: Orders, query: URLSearchParams, tenant: string): Promise<OwnAnswer> => {
	const {state, answer} = await orders.query(query.get('service') ?? '', tenant, query.get('key') ?? '');
	if (state === 'unavailable') {
		return {...problemAnswer(503, 'in-doubt', 'unavailable', 'the table service does not answer; ask again later'), retryAfterSeconds: 1};
	}

	return {status: 200, outcome: 'answered', body: {state, answer}};
};
