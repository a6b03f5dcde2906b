/**
 * References to the parts of a configuration in the object store: a generation and a content hash.
 */
import * as z from 'zod';

/** Prefix of the keys of all parts in the object store. */
export const partPrefix = 'config/parts/';

/**
 * Location of a part: `<generation>/<SHA-256>`. Each collection of old parts increments the
 * generation, so that a part written again never has the key of one that is being removed.
 */
export type PartReference = string;

const referencePattern = /^\d{1,12}\/[\da-f]{64}$/u;

/** Schema of a well-formed reference. */
export const partReferenceSchema: z.ZodType<PartReference> = z.string().regex(referencePattern);

/**
 * Creates a reference.
 *
 * @param generation - Generation in which the part is written.
 * @param hash - SHA-256 of the part's content, in lower-case hexadecimal digits.
 * @returns The reference.
 */
export const partReference = (generation: number, hash: string): PartReference => `${generation}/${hash}`;

/**
 * Extracts the content hash from a reference.
 *
 * @param reference - The reference.
 * @returns SHA-256 of the part's content.
 */
export const hashOfReference = (reference: PartReference): string => reference.slice(reference.indexOf('/') + 1);

/**
 * Returns the object key of a part.
 *
 * @param reference - The reference.
 * @returns The key in the object store.
 */
export const partKey = (reference: PartReference): string => `${partPrefix}${reference}`;
