/**
 * Handles status queries for at-most-once requests: `GET /orders?service=NAME&key=KEY`.
 */
import type {Orders} from '@filbertwell/orders/orders';
import {type LocalResponse, problemResponse} from './localResponse.js';

/**
 * Looks up the state of an idempotency key without running the request.
 *
 * @param orders - Store of at-most-once requests.
 * @param query - Query with `service` and `key`.
 * @param tenant - Tenant of the caller.
 * @returns The state of the key and the stored response, if there is one; 503 if the store is unavailable.
 */
export const orderStatusResponse = async (orders: Orders, query: URLSearchParams, tenant: string): Promise<LocalResponse> => {
	const {state, answer} = await orders.query(query.get('service') ?? '', tenant, query.get('key') ?? '');
	if (state === 'unavailable') {
		return {...problemResponse(503, 'in-doubt', 'unavailable', 'the table service does not answer; ask again later'), retryAfterSeconds: 1};
	}

	return {status: 200, outcome: 'answered', body: {state, answer}};
};
