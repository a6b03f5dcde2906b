/**
 * The table row of an at-most-once request.
 *
 * A row is `claimed` by one attempt. It becomes `done` when the request has run, or `released` when
 * it certainly has not run. Only the attempt whose token is in the row changes it, except that a
 * later attempt may claim a released row.
 */
import type {Row} from '@filbertwell/platform/table';
import {contentHash} from '@filbertwell/utils/hash';
import * as z from 'zod';
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
	| RowBase & {readonly state: 'released'; readonly reason: string}
	| DamagedRow;

/** A row that can't be read. Its request may have run, so it is never run again, and nothing shows when the row may be removed. */
export type DamagedRow = RowBase & {readonly state: 'damaged'};

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

const baseSchema = z.object({
	token: z.string(), fingerprint: z.string(), attempt: z.number(), claimedAt: z.number(),
});
const keptAnswerSchema = z.object({status: z.number(), headers: z.array(z.tuple([z.string(), z.string()])), body: z.string()});
const storedAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('whole'), answer: keptAnswerSchema}),
	z.object({kind: z.literal('object'), objectKey: z.string(), status: z.number()}),
	z.object({kind: z.literal('summary'), status: z.number(), bodyHash: z.string()}),
]);
const rowSchema = z.discriminatedUnion('state', [
	baseSchema.extend({state: z.literal('claimed'), inDoubt: z.string().optional()}),
	baseSchema.extend({state: z.literal('done'), kept: storedAnswerSchema}),
	baseSchema.extend({state: z.literal('released'), reason: z.string()}),
]);

const damagedRow: DamagedRow = {
	state: 'damaged', token: '', fingerprint: '', attempt: 0, claimedAt: Number.POSITIVE_INFINITY,
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/**
 * Parses a row's content.
 *
 * @param stored - Row of the table.
 * @returns Content and revision; the state is `damaged` if the content is not that of an order.
 */
export const parseOrderRow = (stored: Row): StoredOrder => {
	const parsed = rowSchema.safeParse(parseJson(stored.value));
	if (!parsed.success) {
		return {revision: stored.revision, row: damagedRow};
	}

	const {data} = parsed;
	// JSON has no `undefined`, so the reason of a claim that is not in doubt is missing.
	return {revision: stored.revision, row: data.state === 'claimed' ? {...data, inDoubt: data.inDoubt} : data};
};

/**
 * Parses a kept answer.
 *
 * @param text - Content of an object that `keptAnswers` wrote.
 * @returns The answer; `undefined` if the content is damaged.
 */
export const parseKeptAnswer = (text: string): KeptAnswer | undefined => {
	const parsed = keptAnswerSchema.safeParse(parseJson(text));
	return parsed.success ? parsed.data : undefined;
};
