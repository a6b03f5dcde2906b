/**
 * JSON-RPC methods that peers call on each other over HTTP.
 */
import {z} from 'zod';
import {memberRecordSchema} from './memberRecord.js';

const maximumListedIds = 64;

const share = z.number().min(0).max(1);

/** Parameters and results of each method. */
export const methodSchemas = {
	/** The newest accepted head that the peer knows, as the text of its row. */
	'configuration.head': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({}),
		result: z.object({
			head: z.object({version: z.number().int().nonnegative(), content: z.string()}).readonly().optional(),
		}).readonly(),
	},
	/** One part of a configuration by its content hash. */
	'configuration.part': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({hash: z.string().min(1)}).readonly(),
		result: z.object({content: z.string().optional()}).readonly(),
	},
	/** The peer's current splits, from which a restarted process goes on. */
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
	 * Members that the peer knows: those asked for by id, or the page after an id. A page whose
	 * digest equals the one given is answered empty and `unchanged`.
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
			/** Whether no member follows the page. */
			complete: z.boolean(),
			unchanged: z.boolean(),
		}).readonly(),
	},
	/**
	 * What changed in a followed table after a version, as the peer knows it; it answers with the first change, when its
	 * copy goes out of date, or after the wait. Without a reading, it does not know the changes since then any more.
	 */
	'discovery.changes': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({table: z.enum(['operators', 'registrations']), after: z.number().int(), waitMs: z.number().nonnegative()}).readonly(),
		result: z.object({
			reading: z.object({
				version: z.number().int().nonnegative(),
				/** Without a value: the row was removed. */
				rows: z.array(z.object({key: z.string(), value: z.string().optional()}).readonly()).readonly(),
			}).readonly().optional(),
			ageMs: z.number().nonnegative(),
		}).readonly(),
	},
	/** The peer's copy of a followed table, if it is newer than a version. */
	'discovery.rows': { // eslint-disable-line @typescript-eslint/naming-convention -- name on the wire
		params: z.object({table: z.enum(['operators', 'registrations']), newerThan: z.number().int()}).readonly(),
		result: z.object({
			reading: z.object({
				version: z.number().int().nonnegative(),
				rows: z.array(z.object({key: z.string(), value: z.string()}).readonly()).readonly(),
			}).readonly().optional(),
		}).readonly(),
	},
} as const;

/** Name of a method. */
export type MethodName = keyof typeof methodSchemas;

/** Parameters of a method. */
export type MethodParameters<Name extends MethodName> = z.infer<(typeof methodSchemas)[Name]['params']>;

/** Result of a method. */
export type MethodResult<Name extends MethodName> = z.infer<(typeof methodSchemas)[Name]['result']>;

/** Answers a method. A rejection becomes an error answer. */
export type MethodHandler<Name extends MethodName> = (parameters: MethodParameters<Name>) => MethodResult<Name> | Promise<MethodResult<Name>>;
