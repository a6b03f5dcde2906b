/**
 * Schemas of the platform's HTTP interface, validated by client and server.
 */
import * as z from 'zod';
import type {ListedInstance} from './instanceList.js';
import type {Transaction, TransactionResult} from './table.js';

const rowSchema = z.object({key: z.string(), value: z.string(), revision: z.number().int().nonnegative()});

/** Response to a read of one row. */
export const readResponseSchema = z.object({row: rowSchema.nullable()});

/** Response to a scan. */
export const scanResponseSchema = z.object({rows: z.array(rowSchema)});

/** Response to a transaction. */
export const transactionResultSchema: z.ZodType<TransactionResult> = z.object({
	kind: z.enum(['committed', 'conflict']),
	rows: z.array(rowSchema),
});

/** A transaction in wire format: the value `null` deletes a row. */
export const wireTransactionSchema = z.object({
	checks: z.array(z.object({key: z.string(), revision: z.number().int().nonnegative()})),
	writes: z.array(z.object({key: z.string(), value: z.string().nullable()})),
});

/** A transaction in wire format. */
export type WireTransaction = z.infer<typeof wireTransactionSchema>;

/** Response to a listing of object keys. */
export const keysResponseSchema = z.object({keys: z.array(z.string())});

/** An instance in wire format. */
export const instanceSchema: z.ZodType<ListedInstance> = z.object({
	id: z.string().min(1),
	kind: z.enum(['entry', 'lookup', 'upstream']),
	host: z.string().min(1),
	port: z.number().int().min(0).max(65_535),
	availabilityZone: z.string(),
	state: z.enum(['live', 'leaving']),
});

/** Response to a listing of instances. */
export const instancesResponseSchema = z.object({instances: z.array(instanceSchema)});

/**
 * Converts a transaction to wire format.
 *
 * @param transaction - The transaction.
 * @returns The transaction in wire format.
 */
export const toWireTransaction = (transaction: Transaction): WireTransaction => ({
	checks: transaction.checks.map(({key, revision}) => ({key, revision})),
	writes: transaction.writes.map(({key, value}) => ({key, value: value ?? null})),
});

/**
 * Converts a transaction from wire format.
 *
 * @param wire - The transaction in wire format.
 * @returns The transaction.
 */
export const fromWireTransaction = (wire: WireTransaction): Transaction => ({
	checks: wire.checks,
	writes: wire.writes.map(({key, value}) => ({key, value: value ?? undefined})),
});
