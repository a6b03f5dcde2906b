/**
 * Schema of the command that sets the faults of the platform stand-in, over HTTP or on the command line.
 */
import {faultKinds, faultTargets, type Fault} from '@filbertwell/platform/faultPlan';
import * as z from 'zod';

const faultSchema: z.ZodType<Fault> = z.strictObject({
	target: z.enum(faultTargets),
	kind: z.enum(faultKinds),
	access: z.enum(['read', 'write']).optional(),
	probability: z.number().min(0).max(1).optional(),
	count: z.number().int().min(1).optional(),
	delayMs: z.number().min(0).optional(),
});

/** Body of `POST /faults`: the faults that replace the active ones, and the seed for drawing their probabilities. */
export const faultCommandSchema = z.strictObject({
	faults: z.array(faultSchema).max(100),
	seed: z.number().int().optional(),
});

/** Parsed body of `POST /faults`. */
export type FaultCommand = z.infer<typeof faultCommandSchema>;
