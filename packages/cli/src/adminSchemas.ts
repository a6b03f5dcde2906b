/**
 * Schemas of the responses of entries at their admin addresses. Unknown keys are ignored, so that the
 * command line works with entries of a newer release.
 */
import type {EntryState, Explanation} from '@filbertwell/types/entryState';
import * as z from 'zod';

const numberSchema = z.number();

const socketAddressSchema = z.object({host: z.string(), port: numberSchema});

const memberSchema = z.object({
	id: z.string(),
	role: z.enum(['entry', 'lookup']),
	incarnation: numberSchema,
	region: z.string(),
	availabilityZone: z.string(),
	site: z.string(),
	callerAddress: socketAddressSchema,
	peerAddress: socketAddressSchema,
	state: z.enum(['starting', 'serving', 'leaving']),
	health: z.enum(['alive', 'suspect']),
	configurationVersion: numberSchema,
	load: z.object({inFlight: numberSchema, queued: numberSchema, requestsPerSecond: numberSchema}),
});

const zoneSharesSchema = z.array(z.object({availabilityZone: z.string(), share: numberSchema}));

const shiftProgressSchema = z.object({
	service: z.string(),
	current: zoneSharesSchema,
	target: zoneSharesSchema,
	remaining: numberSchema,
	heldBy: z.enum(['none', 'cap', 'headroom', 'latency', 'notSettled']),
	// JSON has no representation of infinity: an unknown time is encoded as null.
	secondsLeft: z.number().nullable().transform(seconds => seconds ?? Number.POSITIVE_INFINITY),
});

const drainSchema = z.object({
	target: z.enum(['endpoint', 'availabilityZone', 'region', 'entry']),
	name: z.string(),
	pace: z.enum(['capped', 'immediate']),
	reason: z.string(),
});

/** Schema of the response to `GET /state`. */
export const entryStateSchema: z.ZodType<EntryState> = z.object({
	self: memberSchema,
	members: z.array(memberSchema),
	configuration: z.object({
		version: numberSchema, changeId: z.string(), author: z.string(), acceptedAt: z.string(),
	}).optional(),
	drains: z.array(drainSchema),
	shiftCaps: z.object({plannedSharePerMinute: numberSchema, failoverSharePerMinute: numberSchema}).optional(),
	shifts: z.array(shiftProgressSchema),
});

/** Schema of the response to `GET /explain`. */
export const explanationSchema: z.ZodType<Explanation> = z.object({
	entry: z.string(),
	configurationVersion: numberSchema,
	steps: z.array(z.object({
		decision: z.enum(['clientBlock', 'entry', 'service', 'route', 'availabilityZone', 'endpoint']),
		choice: z.string(),
		reason: z.string(),
	})),
});
