/**
 * The head: the record of the accepted configuration, which references its manifest.
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {partReferenceSchema, type PartReference} from './partReference.js';

/** Key of the row that holds the head of the accepted configuration. */
export const headKey = 'config/head';

/** Prefix of the rows that hold the records of all accepted versions. */
export const versionPrefix = 'config/version/';

/** Key of the row that holds the generation, which each collection of old parts increments. */
export const collectionKey = 'config/collection';

const versionDigits = 12;

/** Record of an accepted configuration, stored as JSON in the head row and in the row of its version. */
export type Head = {
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	/** Time of acceptance by the operator's clock, ISO 8601; for display only, never compared. */
	readonly acceptedAt: string;
	readonly manifest: PartReference;
};

/** Error of a head that cannot be parsed. */
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
 * Returns the key of a version's row.
 *
 * @param version - The version.
 * @returns The key; keys sort in the order of versions.
 */
export const versionKey = (version: number): string => `${versionPrefix}${String(version).padStart(versionDigits, '0')}`;

/**
 * Serializes a head for a row or a peer.
 *
 * @param head - The head.
 * @returns The head as JSON.
 */
export const formatHead = (head: Head): string => JSON.stringify(head);

/**
 * Parses a head from a row or a peer.
 *
 * @param text - A head as JSON.
 * @returns The head, or why the text is not a valid head.
 */
export const parseHead = (text: string): Result<Head, MalformedHead> => {
	const fail = (detail: string) => err({kind: 'malformed' as const, detail});
	try {
		const parsed = headSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : fail(z.prettifyError(parsed.error));
	} catch {
		return fail('the head is not valid JSON');
	}
};
