/**
 * Schemas of the admin answers. Unknown keys are let through, so that a newer entry can be asked.
 */
import type {EntryState, Explanation} from '@filbertwell/types/entryState';
import {z} from 'zod';

const count = z.number();

const socketAddressSchema = z.object({host: z.string(), port: count});

const memberSchema = z.object({
	id: z.string(),
	role: z.enum(['entry', 'lookup']),
	incarnation: count,
	region: z.string(),
	availabilityZone: z.string(),
	site: z.string(),
	callerAddress: socketAddressSchema,
	peerAddress: socketAddressSchema,
	state: z.enum(['starting', 'serving', 'leaving']),
	health: z.enum(['alive', 'suspect']),
	configurationVersion: count,
	load: z.object({inFlight: count, queued: count, requestsPerSecond: count}),
});

const zoneSharesSchema = z.array(z.object({availabilityZone: z.string(), share: count}));

const shiftProgressSchema = z.object({
	service: z.string(),
	current: zoneSharesSchema,
	target: zoneSharesSchema,
	remaining: count,
	heldBy: z.enum(['none', 'cap', 'headroom', 'latency', 'notSettled']),
	// JSON has no infinity: a time that is not known comes as null.
	secondsLeft: z.number().nullable().transform(seconds => seconds ?? Number.POSITIVE_INFINITY),
});

const drainSchema = z.object({
	target: z.enum(['endpoint', 'availabilityZone', 'region', 'entry']),
	name: z.string(),
	pace: z.enum(['capped', 'immediate']),
	reason: z.string(),
});

/** Schema of `GET /state`. */
export const entryStateSchema: z.ZodType<EntryState> = z.object({
	self: memberSchema,
	members: z.array(memberSchema),
	configuration: z.object({
		version: count, changeId: z.string(), author: z.string(), acceptedAt: z.string(),
	}).optional(),
	drains: z.array(drainSchema),
	shiftCaps: z.object({plannedSharePerMinute: count, failoverSharePerMinute: count}).optional(),
	shifts: z.array(shiftProgressSchema),
});

/** Schema of `GET /explain`. */
export const explanationSchema: z.ZodType<Explanation> = z.object({
	entry: z.string(),
	configurationVersion: count,
	steps: z.array(z.object({
		decision: z.enum(['clientBlock', 'entry', 'service', 'route', 'availabilityZone', 'endpoint']),
		choice: z.string(),
		reason: z.string(),
	})),
});
