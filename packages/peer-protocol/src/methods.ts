/**
 * Schemas of the JSON-RPC methods that peers call over HTTP.
 */
import * as z from 'zod';
import {memberRecordSchema} from './memberRecord.js';

const maximumListedIds = 64;

const share = z.number().min(0).max(1);

/** Schemas of the parameters and the result of each method. */
export const methodSchemas = {
	/** Returns the newest accepted head that the peer knows, as the text of its row; empty if it knows none. */
	'configuration.head': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({}),
		result: z.object({
			head: z.object({version: z.number().int().nonnegative(), content: z.string()}).readonly().optional(),
		}).readonly(),
	},
	/** Returns a part of a configuration by its content hash; empty if the peer does not have it. */
	'configuration.part': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({hash: z.string().min(1)}).readonly(),
		result: z.object({content: z.string().optional()}).readonly(),
	},
	/** Returns the peer's current splits, from which a restarted process resumes. */
	'steering.splits': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({}),
		result: z.object({
			configurationVersion: z.number().int().nonnegative(),
			splits: z.array(z.object({
				region: z.string(),
				service: z.string(),
				shares: z.array(z.object({availabilityZone: z.string(), share}).readonly()).readonly(),
			}).readonly()).readonly(),
		}).readonly(),
	},
	/**
	 * Returns members that the peer knows: those with the requested ids, or the page after an id. If
	 * the digest of the page equals the given one, the answer is empty and `unchanged`.
	 */
	'membership.members': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({
			ids: z.array(z.string()).max(maximumListedIds).readonly().optional(),
			after: z.string().optional(),
			limit: z.number().int().positive().optional(),
			digest: z.number().int().nonnegative().optional(),
		}).readonly(),
		result: z.object({
			members: z.array(memberRecordSchema).readonly(),
			/** Whether the page is the last one. */
			complete: z.boolean(),
			unchanged: z.boolean(),
		}).readonly(),
	},
	/**
	 * Returns what changed in a followed table after a version, according to the peer's copy. The peer answers at the
	 * first change, when its copy becomes outdated, or after `waitMs`. No `reading` means that it no longer has the
	 * changes since that version.
	 */
	'discovery.changes': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({table: z.enum(['operators', 'registrations']), after: z.number().int(), waitMs: z.number().nonnegative()}).readonly(),
		result: z.object({
			reading: z.object({
				version: z.number().int().nonnegative(),
				/** Changed rows; a row without a value was removed. */
				rows: z.array(z.object({key: z.string(), value: z.string().optional()}).readonly()).readonly(),
			}).readonly().optional(),
			ageMs: z.number().nonnegative(),
		}).readonly(),
	},
	/** Returns the peer's copy of a followed table if it is newer than a version. */
	'discovery.rows': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({table: z.enum(['operators', 'registrations']), newerThan: z.number().int()}).readonly(),
		result: z.object({
			reading: z.object({
				version: z.number().int().nonnegative(),
				rows: z.array(z.object({key: z.string(), value: z.string()}).readonly()).readonly(),
			}).readonly().optional(),
			/** Milliseconds since the copy was last known to be current; peers of earlier versions do not send it. */
			ageMs: z.number().nonnegative().optional(),
		}).readonly(),
	},
} as const;

/** Name of a method. */
export type MethodName = keyof typeof methodSchemas;

/** Parameters of a method. */
export type MethodParameters<Name extends MethodName> = z.infer<(typeof methodSchemas)[Name]['params']>;

/** Result of a method. */
export type MethodResult<Name extends MethodName> = z.infer<(typeof methodSchemas)[Name]['result']>;

/** Answers calls of a method. An exception or a rejection becomes a JSON-RPC error. */
export type MethodHandler<Name extends MethodName> = (parameters: MethodParameters<Name>) => MethodResult<Name> | Promise<MethodResult<Name>>;
