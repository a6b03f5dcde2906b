/**
 * Baseline routers without the design choices that are measured: round robin and least requests in
 * flight, with a fixed limit of attempts, no queue and no concurrency limit.
 */
import type {Attempt} from '@filbertwell/routing/attempt';
import type {Router} from '@filbertwell/routing/createRouter';
import type {RouteOutcome} from '@filbertwell/routing/routedRequest';
import type {Endpoint} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';

/** How a baseline selects an endpoint. */
export type BaselinePolicy = 'roundRobin' | 'leastInFlight';

/** Policy, retries and randomness of a baseline router. */
export type BaselineOptions = {
	readonly clock: Clock;
	readonly policy: BaselinePolicy;
	/** Maximum number of attempts of one request. */
	readonly attempts: number;
	readonly random: Random;
};

/**
 * Creates a baseline router.
 *
 * @param options - Policy and maximum number of attempts.
 * @returns A router that ignores load reports and health, and uses the deadline only to cancel attempts.
 */
export const createBaselineRouter = ({clock, policy, attempts, random}: BaselineOptions): Router => {
	const endpointsByService = new Map<string, readonly Endpoint[]>();
	const inFlight = new Map<string, number>();
	let nextIndex = Math.floor(random() * 1000);

	const selectEndpoint = (endpoints: readonly Endpoint[]): Endpoint => {
		nextIndex += 1;
		const rotated = endpoints.map((_, index) => endpoints[(nextIndex + index) % endpoints.length]!);
		return policy === 'roundRobin'
			? rotated[0]!
			: rotated.toSorted((a, b) => (inFlight.get(a.id) ?? 0) - (inFlight.get(b.id) ?? 0))[0]!;
	};

	const adjustInFlight = (endpoint: Endpoint, change: number) => {
		inFlight.set(endpoint.id, (inFlight.get(endpoint.id) ?? 0) + change);
	};

	const releaseLater = async (endpoint: Endpoint, completion: Promise<unknown>) => {
		await completion;
		adjustInFlight(endpoint, -1);
	};

	return {
		configure({intent}) {
			for (const {name, endpoints} of intent.services) {
				endpointsByService.set(name, endpoints);
			}
		},
		setEntries: () => undefined,
		async route(request, send) {
			const controller = new AbortController();
			const remainingMs = request.deadlineAtMs - clock();
			const timer = setTimeout(() => {
				controller.abort();
			}, Math.max(0, remainingMs));
			request.signal.addEventListener('abort', () => {
				controller.abort();
			});
			const attemptOnce = async (number: number) => {
				const endpoint = selectEndpoint(endpointsByService.get(request.service) ?? []);
				const attempt: Attempt = {
					number, cause: number === 1 ? 'first' : 'retry', signal: controller.signal, remainingMs, countBytes: () => undefined,
				};
				adjustInFlight(endpoint, 1);
				const outcome = await send(endpoint, attempt);
				void releaseLater(endpoint, outcome.kind === 'answered' ? outcome.completion : Promise.resolve());
				return {endpoint, outcome};
			};

			let attemptCount = 1;
			let latest = await attemptOnce(attemptCount);
			const hasFailed = () => latest.outcome.kind !== 'cancelled' && (latest.outcome.kind !== 'answered' || latest.outcome.status >= 500);
			while (hasFailed() && attemptCount < attempts) {
				attemptCount += 1;
				latest = await attemptOnce(attemptCount); // eslint-disable-line no-await-in-loop -- attempts are sequential
			}

			clearTimeout(timer);
			const {endpoint, outcome} = latest;
			const result: RouteOutcome<never> = {
				kind: 'in-doubt', reason: 'failed', detail: outcome.kind, attempts: attemptCount,
			};
			if (outcome.kind === 'answered') {
				return {
					kind: 'answered', status: outcome.status, answer: outcome.answer, endpoint, attempts: attemptCount,
				};
			}

			return outcome.kind === 'not-run'
				? {
					kind: 'not-run', reason: 'refusedByUpstream', detail: outcome.reason, attempts: attemptCount,
				}
				: result;
		},
		observeReport: () => undefined,
		setLeaving: () => undefined,
		quietEndpoints: () => [],
		conditions: () => [],
		load: () => ({inFlight: 0, queued: 0}),
		state: () => [],
	};
};
