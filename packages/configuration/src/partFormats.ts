/**
 * Formats of a configuration's parts. The manifest references the parts of the services, the policy,
 * the sites and the root of the client blocks. The root references index nodes, and these reference
 * chunks of client blocks.
 */
import type {ClientBlock, Intent} from '@filbertwell/types/intent';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {partReferenceSchema, type PartReference} from './partReference.js';

/** Error of a part that cannot be parsed. */
export type MalformedPart = {
	readonly kind: 'malformed';
	readonly detail: string;
};

/** The manifest: the only part that a head references. */
export type Manifest = {
	readonly format: 1;
	readonly services: readonly PartReference[];
	readonly policy: PartReference;
	readonly sites: PartReference;
	readonly blocks: PartReference;
};

/** The intent without services, sites and client blocks. */
export type Policy = Omit<Intent, 'services' | 'sites' | 'sitePreferences' | 'clientBlocks'>;

/** Sites and the preferences between them. */
export type Sites = Pick<Intent, 'sites' | 'sitePreferences'>;

const manifestSchema: z.ZodType<Manifest> = z.object({
	format: z.literal(1),
	services: z.array(partReferenceSchema),
	policy: partReferenceSchema,
	sites: partReferenceSchema,
	blocks: partReferenceSchema,
});

const referenceListSchema = z.array(partReferenceSchema);

const parse = <Value>(text: string, schema: z.ZodType<Value>): Result<Value, MalformedPart> => {
	try {
		const parsed = schema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err({kind: 'malformed', detail: z.prettifyError(parsed.error)});
	} catch {
		return err({kind: 'malformed', detail: 'the part is not valid JSON'});
	}
};

/**
 * Parses a manifest.
 *
 * @param text - Content of the part.
 * @returns The manifest, or why the part is not valid.
 */
export const parseManifest = (text: string): Result<Manifest, MalformedPart> => parse(text, manifestSchema);

/**
 * Parses the root or an index node of the client blocks.
 *
 * @param text - Content of the part.
 * @returns References of the children, or why the part is not valid.
 */
export const parseReferences = (text: string): Result<readonly PartReference[], MalformedPart> => parse(text, referenceListSchema);

/**
 * Parses a part that holds an object of the intent. Its fields are not checked, because the intent
 * was validated before it was accepted.
 *
 * @param text - Content of the part.
 * @returns The object, or why the part is not valid.
 */
export const parseObject = <Value extends Record<string, unknown>>(text: string): Result<Value, MalformedPart> => parse(text, z.custom<Value>(
	value => typeof value === 'object' && value !== null && !Array.isArray(value),
	'the part is not a JSON object',
));

const isBlockPair = (value: unknown): value is [string, string] => Array.isArray(value)
	&& value.length === 2
	&& typeof value[0] === 'string'
	&& typeof value[1] === 'string';

/**
 * Serializes a chunk of client blocks.
 *
 * @param blocks - The blocks.
 * @returns Content of the part; equal blocks result in equal content.
 */
export const formatBlocks = (blocks: readonly ClientBlock[]): string => JSON.stringify(blocks.map(block => [block.prefix, block.preference]));

/**
 * Parses a chunk of client blocks.
 *
 * @param text - Content of the part.
 * @param intern - Returns the shared copy of a string, so that equal names take up memory once.
 * @returns The blocks, or why the part is not valid.
 */
export const parseBlocks = (text: string, intern: (name: string) => string): Result<readonly ClientBlock[], MalformedPart> => {
	try {
		const pairs: unknown = JSON.parse(text);
		return Array.isArray(pairs) && pairs.every(pair => isBlockPair(pair))
			? ok(pairs.map(([prefix, preference]) => ({prefix, preference: intern(preference)})))
			: err({kind: 'malformed', detail: 'the part is not a list of [prefix, preference] pairs'});
	} catch {
		return err({kind: 'malformed', detail: 'the part is not valid JSON'});
	}
};
