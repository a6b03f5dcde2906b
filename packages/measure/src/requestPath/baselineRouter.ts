/**
 * Routers without the decisions that are measured: round robin and least in flight, with one
 * attempt for each request, no queue and no limit.
 */
import type {Attempt} from '@filbertwell/routing/attempt';
import type {Router} from '@filbertwell/routing/createRouter';
import type {RouteOutcome} from '@filbertwell/routing/routedRequest';
import type {Endpoint} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';

/** How a baseline chooses. */
export type BaselinePolicy = 'roundRobin' | 'leastInFlight';

/** Parameters of a baseline. */
export type BaselineOptions = {
	readonly clock: Clock;
	readonly policy: BaselinePolicy;
	/** Attempts of one request at most. */
	readonly attempts: number;
	readonly random: Random;
};

/**
 * Creates a baseline.
 *
 * @param options - Policy and number of attempts.
 * @returns A router that takes no account of reports, health or deadlines.
 */
export const createBaselineRouter = ({clock, policy, attempts, random}: BaselineOptions): Router => {
	const endpointsByService = new Map<string, readonly Endpoint[]>();
	const inFlight = new Map<string, number>();
	let turn = Math.floor(random() * 1000);

	const choose = (endpoints: readonly Endpoint[]): Endpoint => {
		turn += 1;
		const rotated = endpoints.map((_, index) => endpoints[(turn + index) % endpoints.length]!);
		return policy === 'roundRobin'
			? rotated[0]!
			: rotated.toSorted((a, b) => (inFlight.get(a.id) ?? 0) - (inFlight.get(b.id) ?? 0))[0]!;
	};

	const count = (endpoint: Endpoint, change: number) => {
		inFlight.set(endpoint.id, (inFlight.get(endpoint.id) ?? 0) + change);
	};

	const releaseLater = async (endpoint: Endpoint, completion: Promise<unknown>) => {
		await completion;
		count(endpoint, -1);
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
				const endpoint = choose(endpointsByService.get(request.service) ?? []);
				const attempt: Attempt = {
					number, cause: number === 1 ? 'first' : 'retry', signal: controller.signal, remainingMs, countBytes: () => undefined,
				};
				count(endpoint, 1);
				const outcome = await send(endpoint, attempt);
				void releaseLater(endpoint, outcome.kind === 'answered' ? outcome.completion : Promise.resolve());
				return {endpoint, outcome};
			};

			let made = 1;
			let last = await attemptOnce(made);
			const hasFailed = () => last.outcome.kind !== 'cancelled' && (last.outcome.kind !== 'answered' || last.outcome.status >= 500);
			while (hasFailed() && made < attempts) {
				made += 1;
				last = await attemptOnce(made); // eslint-disable-line no-await-in-loop -- one attempt after another
			}

			clearTimeout(timer);
			const {endpoint, outcome} = last;
			const result: RouteOutcome<never> = {
				kind: 'in-doubt', reason: 'failed', detail: outcome.kind, attempts: made,
			};
			if (outcome.kind === 'answered') {
				return {
					kind: 'answered', status: outcome.status, answer: outcome.answer, endpoint, attempts: made,
				};
			}

			return outcome.kind === 'not-run'
				? {
					kind: 'not-run', reason: 'refusedByUpstream', detail: outcome.reason, attempts: made,
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
