/**
 * The table row of an at-most-once request.
 *
 * A row is `claimed` by one attempt, and becomes `done` when that attempt's request has run or
 * `released` when it provably has not. Only the attempt whose token the row carries changes it,
 * but for a released row, which a later attempt may claim.
 */
import type {Row} from '@filbertwell/platform/table';
import {contentHash} from '@filbertwell/utils/hash';
import type {KeptAnswer, Order} from './orders.js';

/** What a row carries in each state. */
export type RowBase = {
	/** Unique token of the attempt that wrote the row. */
	readonly token: string;
	readonly fingerprint: string;
	/** The caller's number of that attempt; 0 where it gave none. */
	readonly attempt: number;
	/** Wall-clock time of the claim in milliseconds; for retention alone. */
	readonly claimedAt: number;
};

/** How much of an answer is kept. */
export type KeptPart =
	| {readonly kind: 'whole'; readonly answer: KeptAnswer}
	| {readonly kind: 'object'; readonly objectKey: string; readonly status: number}
	| {readonly kind: 'summary'; readonly status: number; readonly bodyHash: string};

/** Content of a row. */
export type OrderRow =
	| RowBase & {readonly state: 'claimed'; readonly inDoubt: string | undefined}
	| RowBase & {readonly state: 'done'; readonly kept: KeptPart}
	| RowBase & {readonly state: 'released'; readonly reason: string};

/** A row with its revision in the table. */
export type StoredOrder = {
	readonly revision: number;
	readonly row: OrderRow;
};

/** Prefix of all rows of orders. */
export const orderRowPrefix = 'orders/';

/** Prefix of all objects that hold kept answers. */
export const orderObjectPrefix = 'order-answers/';

/**
 * Gives the row key of an order. Tenant and key are hashed, since they may hold any text.
 *
 * @param service - Service of the request.
 * @param tenant - Tenant of the caller.
 * @param key - The caller's idempotency key.
 * @returns The row key.
 */
export const orderRowKey = (service: string, tenant: string, key: string): string => `${orderRowPrefix}${service}/${contentHash(JSON.stringify([tenant, key]))}`;

/**
 * Makes the row of a new claim.
 *
 * @param order - The request.
 * @param token - Unique token of this attempt.
 * @param claimedAt - Wall-clock milliseconds.
 * @returns The row.
 */
export const claimedRow = (order: Order, token: string, claimedAt: number): OrderRow => ({
	state: 'claimed', token, fingerprint: order.fingerprint, attempt: order.attempt ?? 0, claimedAt, inDoubt: undefined,
});

/**
 * Picks what a row carries from state to state.
 *
 * @param row - A row.
 * @returns Token, fingerprint, attempt and time of the claim.
 */
export const rowBase = ({token, fingerprint, attempt, claimedAt}: OrderRow): RowBase => ({
	token, fingerprint, attempt, claimedAt,
});

/**
 * Writes a row's content as text.
 *
 * @param row - The content.
 * @returns JSON.
 */
export const serializeOrderRow = (row: OrderRow): string => JSON.stringify(row);

/**
 * Reads a row's content.
 *
 * @param stored - Row of the table.
 * @returns Content and revision; it throws where the row was not written by this module.
 */
export const parseOrderRow = (stored: Row): StoredOrder => {
	const row = JSON.parse(stored.value) as OrderRow;
	if (!['claimed', 'done', 'released'].includes(row.state)) {
		throw new Error(`row ${stored.key}: unknown state "${String(row.state)}"; only orders may write below ${orderRowPrefix}`);
	}

	return {revision: stored.revision, row};
};
