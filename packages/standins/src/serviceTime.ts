/**
 * Distributions of the time that an upstream stand-in takes to process a request.
 */
import type {Random} from '@filbertwell/utils/random';
import * as z from 'zod';

/** Schema of a service time distribution; all times are in milliseconds. */
export const serviceTimeSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('constant'), milliseconds: z.number().nonnegative()}),
	z.object({kind: z.literal('uniform'), minimumMs: z.number().nonnegative(), maximumMs: z.number().nonnegative()}),
	z.object({kind: z.literal('exponential'), meanMs: z.number().nonnegative()}),
	z.object({kind: z.literal('logNormal'), medianMs: z.number().nonnegative(), sigma: z.number().nonnegative()}),
]);

/** A distribution of service times; `kind` selects its form. */
export type ServiceTime = z.infer<typeof serviceTimeSchema>;

const standardNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/**
 * Draws a service time from a distribution.
 *
 * @param distribution - The distribution.
 * @param random - Uniform random numbers from 0 to below 1.
 * @returns The service time in milliseconds.
 */
export const drawServiceTime = (distribution: ServiceTime, random: Random): number => {
	switch (distribution.kind) {
		case 'constant': {
			return distribution.milliseconds;
		}

		case 'uniform': {
			return distribution.minimumMs + ((distribution.maximumMs - distribution.minimumMs) * random());
		}

		case 'exponential': {
			return -distribution.meanMs * Math.log(1 - random());
		}

		case 'logNormal': {
			return distribution.medianMs * Math.exp(distribution.sigma * standardNormal(random));
		}
	}
};
