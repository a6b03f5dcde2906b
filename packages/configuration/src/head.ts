/**
 * The head: the record that says which configuration is accepted.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {partReferenceSchema, type PartReference} from './partReference.js';

/** Row of the accepted configuration's head. */
export const headKey = 'config/head';

/** Prefix of the rows of all accepted versions. */
export const versionPrefix = 'config/version/';

/** Row that counts collections of old parts. */
export const collectionKey = 'config/collection';

const versionDigits = 12;

/** Record of an accepted configuration. */
export type Head = {
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	/** Time of acceptance by the operator's clock, ISO 8601. For people only. */
	readonly acceptedAt: string;
	readonly manifest: PartReference;
};

/** A head that cannot be read. */
export type MalformedHead = {
	readonly kind: 'malformed';
	readonly detail: string;
};

const headSchema = z.object({
	version: z.number().int().min(1),
	changeId: z.string().min(1),
	author: z.string(),
	acceptedAt: z.string(),
	manifest: partReferenceSchema,
});

/**
 * Names the row of a version.
 *
 * @param version - A version.
 * @returns The row's key; keys sort as versions do.
 */
export const versionKey = (version: number): string => `${versionPrefix}${String(version).padStart(versionDigits, '0')}`;

/**
 * Prints a head for a row or a peer.
 *
 * @param head - The head.
 * @returns Its JSON.
 */
export const formatHead = (head: Head): string => JSON.stringify(head);

/**
 * Reads a head from a row or a peer.
 *
 * @param text - JSON of a head.
 * @returns The head, or what is wrong with the text.
 */
export const parseHead = (text: string): Result<Head, MalformedHead> => {
	const fail = (detail: string) => err({kind: 'malformed' as const, detail});
	try {
		const parsed = headSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : fail(z.prettifyError(parsed.error));
	} catch {
		return fail('it is not JSON');
	}
};
