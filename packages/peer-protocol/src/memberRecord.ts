/**
 * Schemas of the member state that peers exchange.
 */
import * as z from 'zod';

const maximumNameLength = 64;
const maximumPort = 65_535;
const maximumHostLength = 45;

const name = z.string().min(1).max(maximumNameLength);
const count = z.number().int().nonnegative();

/** Schema of an address on which a process listens. */
export const socketAddressSchema = z.object({
	host: z.string().min(1).max(maximumHostLength),
	port: z.number().int().min(1).max(maximumPort),
}).readonly();

const loadSummarySchema = z.object({
	inFlight: count,
	queued: count,
	requestsPerSecond: z.number().nonnegative(),
}).readonly();

const beatShape = {
	id: name,
	incarnation: count,
	sequence: count,
	state: z.enum(['starting', 'serving', 'leaving']),
	health: z.enum(['alive', 'suspect']),
	configurationVersion: count,
};

/** Schema of a beat; a beat may omit the load. */
export const memberBeatSchema = z.object({...beatShape, load: loadSummarySchema.optional()}).readonly();

/** Schema of a full record: a beat with the identity and addresses of the member. */
export const memberRecordSchema = z.object({
	...beatShape,
	load: loadSummarySchema.optional(),
	role: z.enum(['entry', 'lookup']),
	region: name,
	availabilityZone: name,
	site: name,
	capacity: z.number().positive().optional(),
	callerAddress: socketAddressSchema,
	peerAddress: socketAddressSchema,
	acceptsDeflate: z.boolean().optional(),
}).readonly();

/**
 * Part of a member that changes while it runs. Of two beats with the same id, the one with the
 * higher incarnation, then the higher sequence, is newer; if both are equal, `suspect` is newer.
 */
export type MemberBeat = z.infer<typeof memberBeatSchema>;

/** Beat with everything that a peer needs to reach the member. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;
