/**
 * Open-loop load: requests start at times fixed in advance, and latency counts from there.
 */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {drawArrivals, drawWeighted} from './arrivals.js';
import {createCaller, keyOf, type CallerRequest} from './caller.js';
import type {RequestRecord} from './callerRecord.js';
import {createEntryDirectory, shuffled} from './entryDirectory.js';
import {createLatencies, type LatencyFigures} from './latencies.js';
import type {LoadPlan} from './loadPlan.js';

/** Hooks of a run. */
export type LoadHooks = {
	/** Called with each finished request; records are not collected where it is given. */
	readonly onRecord?: (record: RequestRecord) => void;
	/** Ends the arrivals early; requests in progress finish. */
	readonly signal?: AbortSignal;
	/** Start of the requests' ids; give one where several loads meet the same ledgers. */
	readonly idPrefix?: string;
	readonly clock?: Clock;
};

/** What a load measured. */
export type LoadResult = {
	readonly requests: number;
	/** Requests by final outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Latency of answered requests by class, and by route as `route:NAME`. */
	readonly latencies: Readonly<Record<string, LatencyFigures>>;
	/** Latency of refusals as not run. */
	readonly refusals: LatencyFigures | undefined;
	readonly attemptsPerRequest: number;
	/** Largest delay between a request's intended and its true start. */
	readonly maximumStartLagMs: number;
	/** All requests, unless `onRecord` took them. */
	readonly records: readonly RequestRecord[];
};

const refusalName = 'refusal';

/**
 * Runs a load to its end and waits for all answers.
 *
 * @param plan - Rate, routes, tenants and callers.
 * @param hooks - Optional hooks.
 * @returns Figures and records.
 */
export const runLoad = async (plan: LoadPlan, hooks: LoadHooks = {}): Promise<LoadResult> => {
	const clock = hooks.clock ?? monotonicClock;
	const random = createRandom(plan.seed);
	const arrivals = drawArrivals(plan.requestsPerSecond, plan.durationMs, random).slice(0, plan.maximumRequests);
	const agent = new Agent({keepAlive: true, maxFreeSockets: 512});
	const idPrefix = hooks.idPrefix ?? `load${plan.seed}`;
	const records: RequestRecord[] = [];
	const latencies = createLatencies();
	const outcomes: Record<string, number> = {};
	let attempts = 0;
	let maximumStartLagMs = 0;

	const createPlannedCaller = (index: number) => {
		const callerRandom = createRandom((plan.seed * 7919) + index);
		const directory = createEntryDirectory({
			entries: plan.entries, callerAddress: plan.callerAddress?.(index), clock, random: callerRandom, agent,
		});
		return createCaller({
			agent,
			findEntries: async service => plan.entryChoice === 'lookup' ? directory.findEntries(service) : shuffled(plan.entries, callerRandom),
			maximumAttempts: plan.maximumAttempts,
			maximumOrderAttempts: plan.maximumOrderAttempts,
		});
	};

	const callers = Array.from({length: plan.callers}, (_, index) => createPlannedCaller(index));

	const keep = (record: RequestRecord): void => {
		outcomes[record.outcome] = (outcomes[record.outcome] ?? 0) + 1;
		attempts += record.attempts.length;
		if (record.outcome === 'answered') {
			latencies.record(record.requestClass, record.latencyMs);
			latencies.record(`route:${record.route}`, record.latencyMs);
		} else if (record.outcome === 'not-run') {
			latencies.record(refusalName, record.latencyMs);
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
		keep({
			...result,
			id: request.id,
			key: keyOf(request),
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
	const track = async (sending: Promise<void>): Promise<void> => {
		inProgress.add(sending);
		await sending;
		inProgress.delete(sending);
	};

	let next = 0;
	while (next < arrivals.length && !hooks.signal?.aborted) {
		const waitMs = arrivals[next]! - (clock() - startedAtMs);
		if (waitMs > 0) {
			await delay(waitMs); // eslint-disable-line no-await-in-loop -- arrivals follow the clock
			continue;
		}

		void track(send(next, startedAtMs));
		next += 1;
	}

	await Promise.all(inProgress);
	agent.destroy();
	const {[refusalName]: refusals, ...answered} = latencies.figures();
	return {
		requests: next,
		outcomes,
		latencies: answered,
		refusals,
		attemptsPerRequest: next === 0 ? 0 : attempts / next,
		maximumStartLagMs,
		records,
	};
};
