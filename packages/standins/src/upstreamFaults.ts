/**
 * Faults that can be injected into an upstream stand-in over its control port.
 */
import * as z from 'zod';

const probability = z.number().min(0).max(1);

/** Schema of the faults of one endpoint. */
export const upstreamFaultsSchema = z.strictObject({
	/** Factor that multiplies each service time. */
	slowFactor: z.number().positive(),
	/** Probability that a request takes `stragglerFactor` times longer. */
	stragglerProbability: probability,
	stragglerFactor: z.number().positive(),
	/** Probability that a request is rejected as not run. */
	failBeforeProbability: probability,
	/** Probability of a status of 500 after the run. */
	failAfterProbability: probability,
	/** Probability that the connection is closed without a response after the run. */
	resetAfterProbability: probability,
	/** Probability that a response breaks off before its announced length. */
	truncateProbability: probability,
	/** Connections are accepted, but work does not progress and no response is sent. */
	stalled: z.boolean(),
	/** Load that the report shows: the actual load (`honest`), no load (`idle`), or all slots in use and as many requests queued (`busy`). */
	report: z.enum(['honest', 'idle', 'busy']),
	/** Age of the state that the load report shows, in milliseconds. */
	reportLagMs: z.number().nonnegative(),
	/** The load report gives the state `leaving`; requests still run, so that new work can be counted. */
	leaving: z.boolean(),
	/** Rejects each request as not run. */
	shedding: z.boolean(),
	/** Closes the listener and resets open connections. */
	down: z.boolean(),
	/** Number of upcoming requests that take `coldFactor` times longer. */
	coldRequests: z.number().int().nonnegative(),
	coldFactor: z.number().positive(),
});

/** All faults of one endpoint. */
export type UpstreamFaults = Readonly<z.infer<typeof upstreamFaultsSchema>>;

/** Body of `POST /faults`: the endpoint id, or all endpoints if absent, and the faults to set. Absent faults keep their value. */
export const faultCommandSchema = z.strictObject({
	endpoint: z.string().optional(),
	faults: upstreamFaultsSchema.partial(),
});

/** Faults of an endpoint that behaves normally. */
export const noUpstreamFaults: UpstreamFaults = {
	slowFactor: 1,
	stragglerProbability: 0,
	stragglerFactor: 20,
	failBeforeProbability: 0,
	failAfterProbability: 0,
	resetAfterProbability: 0,
	truncateProbability: 0,
	stalled: false,
	report: 'honest',
	reportLagMs: 0,
	leaving: false,
	shedding: false,
	down: false,
	coldRequests: 0,
	coldFactor: 5,
};
