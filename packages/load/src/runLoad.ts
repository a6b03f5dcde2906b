/**
 * Runs an open-loop load: requests start at times that are fixed in advance, and latencies are measured from
 * these times.
 */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {drawArrivals, drawWeighted} from './arrivals.js';
import {createCaller, getIdempotencyKey, type CallerRequest} from './caller.js';
import type {RequestRecord} from './callerRecord.js';
import {createEntryDirectory, shuffle} from './entryDirectory.js';
import {createLatencyHistograms, type LatencyFigures} from './latencyHistograms.js';
import type {LoadPlan} from './loadPlan.js';

/** Optional hooks and overrides of a run. */
export type LoadHooks = {
	/** Called with the record of each finished request; the records are then not collected in the result. */
	readonly onRecord?: (record: RequestRecord) => void;
	/** Stops new requests; requests in progress are completed. */
	readonly signal?: AbortSignal;
	/** Prefix of the request ids, `loadSEED` by default; must differ between loads that share upstream ledgers. */
	readonly idPrefix?: string;
	readonly clock?: Clock;
};

/** Measurements of a load. */
export type LoadResult = {
	readonly requests: number;
	/** Number of requests by final outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Latencies of answered requests by request class, and by route as `route:NAME`. */
	readonly latencies: Readonly<Record<string, LatencyFigures>>;
	/** Latencies of requests that were refused as not run; `undefined` if there were none. */
	readonly refusals: LatencyFigures | undefined;
	readonly attemptsPerRequest: number;
	/** Largest delay in milliseconds between the intended and the actual start of a request. */
	readonly maximumStartLagMs: number;
	/** Records of all requests; empty if `onRecord` is set. */
	readonly records: readonly RequestRecord[];
};

const refusalHistogram = 'refusal';

/**
 * Runs a load and waits until all requests are completed.
 *
 * @param plan - Configuration of the load.
 * @param hooks - Optional hooks and overrides.
 * @returns The measurements and, without `onRecord`, the records of the requests.
 */
export const runLoad = async (plan: LoadPlan, hooks: LoadHooks = {}): Promise<LoadResult> => {
	const clock = hooks.clock ?? monotonicClock;
	const random = createRandom(plan.seed);
	const arrivals = drawArrivals(plan.requestsPerSecond, plan.durationMs, random).slice(0, plan.maximumRequests);
	const agent = new Agent({keepAlive: true, maxFreeSockets: 512});
	const idPrefix = hooks.idPrefix ?? `load${plan.seed}`;
	const records: RequestRecord[] = [];
	const latencies = createLatencyHistograms();
	const outcomes: Record<string, number> = {};
	let attempts = 0;
	let maximumStartLagMs = 0;

	const createLoadCaller = (index: number) => {
		const callerRandom = createRandom((plan.seed * 7919) + index);
		const directory = createEntryDirectory({
			entries: plan.entries, callerAddress: plan.callerAddress?.(index), clock, random: callerRandom, agent,
		});
		return createCaller({
			agent,
			findEntries: async service => plan.entryChoice === 'lookup' ? directory.findEntries(service) : shuffle(plan.entries, callerRandom),
			maximumAttempts: plan.maximumAttempts,
			maximumAtMostOnceAttempts: plan.maximumAtMostOnceAttempts,
		});
	};

	const callers = Array.from({length: plan.callers}, (_, index) => createLoadCaller(index));

	const addRecord = (record: RequestRecord): void => {
		outcomes[record.outcome] = (outcomes[record.outcome] ?? 0) + 1;
		attempts += record.attempts.length;
		if (record.outcome === 'answered') {
			latencies.record(record.requestClass, record.latencyMs);
			latencies.record(`route:${record.route}`, record.latencyMs);
		} else if (record.outcome === 'not-run') {
			latencies.record(refusalHistogram, record.latencyMs);
		}

		if (hooks.onRecord === undefined) {
			records.push(record);
		} else {
			hooks.onRecord(record);
		}
	};

	const send = async (index: number, startedAtMs: number): Promise<void> => {
		const intendedAtMs = arrivals[index]!;
		const route = drawWeighted(plan.routes, random);
		const tenant = drawWeighted(plan.tenants, random).name;
		const caller = callers[Math.floor(random() * callers.length)]!;
		const request: CallerRequest = {id: `${idPrefix}-${index}`, route, tenant};
		maximumStartLagMs = Math.max(maximumStartLagMs, clock() - startedAtMs - intendedAtMs);
		const result = await caller.send(request);
		addRecord({
			...result,
			id: request.id,
			key: getIdempotencyKey(request),
			service: route.service,
			route: route.name,
			kind: route.kind,
			requestClass: route.requestClass,
			tenant,
			intendedAtMs,
			latencyMs: clock() - startedAtMs - intendedAtMs,
		});
	};

	const startedAtMs = clock();
	const inProgress = new Set<Promise<void>>();
	const track = async (sendPromise: Promise<void>): Promise<void> => {
		inProgress.add(sendPromise);
		await sendPromise;
		inProgress.delete(sendPromise);
	};

	let nextIndex = 0;
	while (nextIndex < arrivals.length && !hooks.signal?.aborted) {
		const waitMs = arrivals[nextIndex]! - (clock() - startedAtMs);
		if (waitMs > 0) {
			await delay(waitMs); // eslint-disable-line no-await-in-loop -- requests start at their arrival times
			continue;
		}

		void track(send(nextIndex, startedAtMs));
		nextIndex += 1;
	}

	await Promise.all(inProgress);
	agent.destroy();
	const {[refusalHistogram]: refusals, ...answered} = latencies.summarize();
	return {
		requests: nextIndex,
		outcomes,
		latencies: answered,
		refusals,
		attemptsPerRequest: nextIndex === 0 ? 0 : attempts / nextIndex,
		maximumStartLagMs,
		records,
	};
};
