/**
 * References to the parts of a configuration in the object store.
 */
import {z} from 'zod';

/** Prefix of all parts in the object store. */
export const partPrefix = 'config/parts/';

/**
 * Where a part is: `<generation>/<SHA-256>`. The generation rises with each collection of old
 * parts, so that a part written again never has the key of one that is being removed.
 */
export type PartReference = string;

const referencePattern = /^\d{1,12}\/[\da-f]{64}$/u;

/** A well-formed reference. */
export const partReferenceSchema: z.ZodType<PartReference> = z.string().regex(referencePattern);

/**
 * Makes a reference.
 *
 * @param generation - Generation in which the part is written.
 * @param hash - SHA-256 of its content.
 * @returns The reference.
 */
export const partReference = (generation: number, hash: string): PartReference => `${generation}/${hash}`;

/**
 * Takes the content hash from a reference.
 *
 * @param reference - The reference.
 * @returns SHA-256 of the part's content.
 */
export const hashOfReference = (reference: PartReference): string => reference.slice(reference.indexOf('/') + 1);

/**
 * Names the object of a part.
 *
 * @param reference - The reference.
 * @returns Key in the object store.
 */
export const partKey = (reference: PartReference): string => `${partPrefix}${reference}`;
