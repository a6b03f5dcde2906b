/**
 * Forms of the platform's HTTP interface, checked on both sides.
 */
import {z} from 'zod';
import type {ListedInstance} from './instanceList.js';
import type {Transaction, TransactionResult} from './table.js';

const rowSchema = z.object({key: z.string(), value: z.string(), revision: z.number().int().nonnegative()});

/** Answer to a read of one row. */
export const readAnswerSchema = z.object({row: rowSchema.nullable()});

/** Answer to a scan. */
export const scanAnswerSchema = z.object({rows: z.array(rowSchema)});

/** Answer to a transaction. */
export const transactionResultSchema: z.ZodType<TransactionResult> = z.object({
	kind: z.enum(['committed', 'conflict']),
	rows: z.array(rowSchema),
});

/** A transaction as it travels: a deletion is `null`. */
export const wireTransactionSchema = z.object({
	checks: z.array(z.object({key: z.string(), revision: z.number().int().nonnegative()})),
	writes: z.array(z.object({key: z.string(), value: z.string().nullable()})),
});

/** A transaction as it travels. */
export type WireTransaction = z.infer<typeof wireTransactionSchema>;

/** Answer to a listing of object keys. */
export const keysAnswerSchema = z.object({keys: z.array(z.string())});

/** An instance as it travels. */
export const instanceSchema: z.ZodType<ListedInstance> = z.object({
	id: z.string().min(1),
	kind: z.enum(['entry', 'lookup', 'upstream']),
	host: z.string().min(1),
	port: z.number().int().min(0).max(65_535),
	availabilityZone: z.string(),
	state: z.enum(['live', 'leaving']),
});

/** Answer to a listing of instances. */
export const instancesAnswerSchema = z.object({instances: z.array(instanceSchema)});

/**
 * Brings a transaction into the form in which it travels.
 *
 * @param transaction - The transaction.
 * @returns Its wire form.
 */
export const toWireTransaction = (transaction: Transaction): WireTransaction => ({
	checks: transaction.checks.map(({key, revision}) => ({key, revision})),
	writes: transaction.writes.map(({key, value}) => ({key, value: value ?? null})),
});

/**
 * Reads a transaction from the form in which it travels.
 *
 * @param wire - The wire form.
 * @returns The transaction.
 */
export const fromWireTransaction = (wire: WireTransaction): Transaction => ({
	checks: wire.checks,
	writes: wire.writes.map(({key, value}) => ({key, value: value ?? undefined})),
});
