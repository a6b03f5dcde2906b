/**
 * The table row of an at-most-once request.
 *
 * A row is `claimed` by one attempt. It becomes `done` when the request has run, or `released` when
 * it certainly has not run. Only the attempt whose token is in the row changes it, except that a
 * later attempt may claim a released row.
 */
import type {Row} from '@filbertwell/platform/table';
import {contentHash} from '@filbertwell/utils/hash';
import type {KeptAnswer, Order} from './orders.js';

/** Fields that a row has in every state. */
export type RowBase = {
	/** Unique token of the attempt that wrote the row. */
	readonly token: string;
	readonly fingerprint: string;
	/** Number that the caller gave that attempt; 0 if it gave none. */
	readonly attempt: number;
	/** Wall-clock time of the claim in milliseconds, used only for retention. */
	readonly claimedAt: number;
};

/** A kept answer: complete in the row, in the object store, or only status and hash. */
export type StoredAnswer =
	| {readonly kind: 'whole'; readonly answer: KeptAnswer}
	| {readonly kind: 'object'; readonly objectKey: string; readonly status: number}
	| {readonly kind: 'summary'; readonly status: number; readonly bodyHash: string};

/** Content of a row. */
export type OrderRow =
	| RowBase & {readonly state: 'claimed'; readonly inDoubt: string | undefined}
	| RowBase & {readonly state: 'done'; readonly kept: StoredAnswer}
	| RowBase & {readonly state: 'released'; readonly reason: string};

/** A row with its revision in the table. */
export type StoredOrder = {
	readonly revision: number;
	readonly row: OrderRow;
};

/** Prefix of the keys of all rows of orders. */
export const orderRowPrefix = 'orders/';

/** Prefix of the keys of all objects that hold kept answers. */
export const orderObjectPrefix = 'order-answers/';

/**
 * Returns the row key of an order. Tenant and key are hashed because they may contain any text.
 *
 * @param service - Service of the request.
 * @param tenant - Tenant of the caller.
 * @param key - The caller's idempotency key.
 * @returns The row key.
 */
export const orderRowKey = (service: string, tenant: string, key: string): string => `${orderRowPrefix}${service}/${contentHash(JSON.stringify([tenant, key]))}`;

/**
 * Creates the row of a new claim.
 *
 * @param order - The request.
 * @param token - Unique token of this attempt.
 * @param claimedAt - Wall-clock time in milliseconds.
 * @returns The row.
 */
export const claimedRow = (order: Order, token: string, claimedAt: number): OrderRow => ({
	state: 'claimed', token, fingerprint: order.fingerprint, attempt: order.attempt ?? 0, claimedAt, inDoubt: undefined,
});

/**
 * Returns the fields that a row keeps when its state changes.
 *
 * @param row - A row.
 * @returns Token, fingerprint, attempt and time of the claim.
 */
export const rowBase = ({token, fingerprint, attempt, claimedAt}: OrderRow): RowBase => ({
	token, fingerprint, attempt, claimedAt,
});

/**
 * Serializes a row's content.
 *
 * @param row - The content.
 * @returns The content as JSON.
 */
export const serializeOrderRow = (row: OrderRow): string => JSON.stringify(row);

/**
 * Parses a row's content.
 *
 * @param stored - Row of the table.
 * @returns Content and revision.
 * @throws {Error} If the value is not JSON or the state is unknown, because something else wrote the row.
 */
export const parseOrderRow = (stored: Row): StoredOrder => {
	const row = JSON.parse(stored.value) as OrderRow;
	if (!['claimed', 'done', 'released'].includes(row.state)) {
		throw new Error(`row "${stored.key}" has the unknown state "${String(row.state)}"; only this package may write rows under "${orderRowPrefix}"`);
	}

	return {revision: stored.revision, row};
};
