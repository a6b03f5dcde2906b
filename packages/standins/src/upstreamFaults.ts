/**
 * Faults that an upstream stand-in takes by command.
 */
import {z} from 'zod';

const probability = z.number().min(0).max(1);

/** Schema of the faults of one endpoint; what is absent stays as it is. */
export const upstreamFaultsSchema = z.strictObject({
	/** Factor on each service time. */
	slowFactor: z.number().positive(),
	/** Probability that a request takes `stragglerFactor` times longer. */
	stragglerProbability: probability,
	stragglerFactor: z.number().positive(),
	/** Probability of a refusal as not run. */
	failBeforeProbability: probability,
	/** Probability of a 500 after the run. */
	failAfterProbability: probability,
	/** Probability that the connection is closed without an answer after the run. */
	resetAfterProbability: probability,
	/** Probability that an answer stops short of its length. */
	truncateProbability: probability,
	/** Work does not progress and nothing is answered, while connections are accepted. */
	stalled: z.boolean(),
	/** What the load report says, whatever the load is. */
	report: z.enum(['honest', 'idle', 'busy']),
	/** Age of the state that the load report shows. */
	reportLagMs: z.number().nonnegative(),
	/** The report says that the upstream is leaving; requests still run, so that new work can be counted. */
	leaving: z.boolean(),
	/** Refuses each request as not run. */
	shedding: z.boolean(),
	/** The listener is closed and open connections are reset. */
	down: z.boolean(),
	/** Number of requests, from now on, that take `coldFactor` times longer. */
	coldRequests: z.number().int().nonnegative(),
	coldFactor: z.number().positive(),
});

/** Faults of one endpoint. */
export type UpstreamFaults = Readonly<z.infer<typeof upstreamFaultsSchema>>;

/** Body of `POST /faults`: an endpoint, or all where none is named, and the faults to set. */
export const faultCommandSchema = z.strictObject({
	endpoint: z.string().optional(),
	faults: upstreamFaultsSchema.partial(),
});

/** No faults. */
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
