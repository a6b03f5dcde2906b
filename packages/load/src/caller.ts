/**
 * Simulated caller: sends a request, retries it at the next entry where that is safe, resends at-most-once
 * requests with the same idempotency key, and queries the state of requests that are in doubt.
 */
import type {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	attemptHeader, deadlineHeader, idempotencyKeyHeader, requestIdHeader, tenantHeader,
} from '@filbertwell/types/headers';
import type {SocketAddress} from '@filbertwell/types/place';
import {type AttemptResult, sendAttempt} from './attempt.js';
import type {AttemptOutcome, AttemptRecord, RequestOutcome} from './callerRecord.js';
import type {RouteLoad} from './loadPlan.js';

/** A request for a caller to send. */
export type CallerRequest = {
	readonly id: string;
	readonly route: RouteLoad;
	readonly tenant: string;
};

/** Dependencies and limits of a caller. */
export type CallerOptions = {
	readonly agent: Agent;
	/** Returns the addresses of entries for a service in order of preference; called before each attempt. */
	readonly findEntries: (service: string) => Promise<readonly SocketAddress[]>;
	/** Maximum number of attempts of an idempotent request. */
	readonly maximumAttempts: number;
	/** Maximum number of attempts of an at-most-once request. */
	readonly maximumAtMostOnceAttempts: number;
};

/** Final result of a request. */
export type CallerResult = {
	readonly outcome: RequestOutcome;
	/** HTTP status of the last attempt; `undefined` without a response. */
	readonly status: number | undefined;
	/** Whether an entry reported the state of the request's key; `undefined` if the state was not queried. */
	readonly isStateKnown: boolean | undefined;
	readonly attempts: readonly AttemptRecord[];
};

/** A simulated caller. */
export type Caller = {
	/** Sends a request until its outcome is final; never rejects because of a failed attempt. */
	readonly send: (request: CallerRequest) => Promise<CallerResult>;
};

/** Added to the deadline as the timeout of an attempt, so that the entry's refusal at the deadline still arrives. */
const attemptTimeoutMarginMs = 1000;
const retryDelayMs = 50;
const inDoubtRetryDelayMs = 300;
/** Retries of an at-most-once request that stays in doubt, before the caller queries its state instead. */
const maximumInDoubtRetries = 5;
/** Queries for the state of a request while no entry reports one. */
const maximumStateQueries = 60;
/** Replies that report an unsettled state, after which the caller stops its queries. */
const maximumUnsettledReplies = 4;
const stateQueryIntervalMs = 500;
const stateQueryTimeoutMs = 2000;

/** Outcomes after which a request is retried. At-most-once requests are also retried if they are in doubt. */
const retryableOutcomes: ReadonlySet<AttemptOutcome> = new Set(['unreachable', 'not-run', 'lost', 'cut-off', 'timed-out', 'foreign']);

const shouldRetry = (attempt: AttemptRecord, attempts: readonly AttemptRecord[], key: string | undefined): boolean => {
	const inDoubtCount = attempts.filter(({outcome}) => outcome === 'in-doubt').length;
	return retryableOutcomes.has(attempt.outcome) || (key !== undefined && attempt.outcome === 'in-doubt' && inDoubtCount <= maximumInDoubtRetries);
};

/** With an idempotency key, a refusal covers all attempts of the request; without one, only its own attempt. */
const determineOutcome = (attempts: readonly AttemptRecord[], key: string | undefined): RequestOutcome => {
	const last = attempts.at(-1)?.outcome;
	if (last === 'answered' || last === 'replayed') {
		return 'answered';
	}

	if (last === 'in-doubt' || last === 'invalid') {
		return last;
	}

	const isRefused = last === 'not-run' && (key !== undefined || attempts.every(({outcome}) => outcome === 'not-run' || outcome === 'unreachable'));
	return isRefused ? 'not-run' : 'no-answer';
};

/** Whether a response belongs to the request. With status 200 it must contain the request's id or key; others are not checked. */
const isOwnResponse = (result: AttemptResult, expected: {readonly requestId: string; readonly key: string | undefined}): boolean => {
	if (result.status !== 200) {
		return true;
	}

	try {
		const {requestId, key} = JSON.parse(result.body) as {requestId?: string; key?: string};
		return expected.key === undefined ? requestId === expected.requestId : key === expected.key;
	} catch {
		return false;
	}
};

/**
 * Returns the idempotency key of a request.
 *
 * @param request - The request.
 * @returns The key, derived from the request's id; `undefined` for idempotent routes.
 */
export const getIdempotencyKey = ({id, route}: CallerRequest): string | undefined => route.kind === 'atMostOnce' ? `key-${id}` : undefined;

/**
 * Creates a caller. Its upstreams must be stand-ins, whose responses contain the request id and the key.
 *
 * @param options - HTTP agent, source of entries and limits of attempts.
 * @returns The caller.
 */
export const createCaller = ({agent, findEntries, maximumAttempts, maximumAtMostOnceAttempts}: CallerOptions): Caller => {
	const attemptOnce = async (request: CallerRequest, attempt: number, address: SocketAddress): Promise<AttemptRecord> => {
		const {route, tenant} = request;
		const key = getIdempotencyKey(request);
		const requestId = `${request.id}-${attempt}`;
		const result = await sendAttempt({
			address,
			method: route.method,
			path: route.path,
			headers: {
				[requestIdHeader]: requestId,
				[tenantHeader]: tenant,
				[deadlineHeader]: String(route.deadlineMs),
				...(key === undefined ? {} : {[idempotencyKeyHeader]: key, [attemptHeader]: String(attempt)}),
			},
			body: 'x'.repeat(route.bodyBytes),
			timeoutMs: route.deadlineMs + attemptTimeoutMarginMs,
			agent,
		});
		const isForeign = (result.outcome === 'answered' || result.outcome === 'replayed') && !isOwnResponse(result, {requestId, key});
		return {
			requestId,
			address: `${address.host}:${address.port}`,
			outcome: isForeign ? 'foreign' : result.outcome,
			status: result.status,
			bytes: result.body.length,
			detail: result.detail,
		};
	};

	const queryState = async (request: CallerRequest, key: string, queryIndex: number): Promise<string | undefined> => {
		const addresses = await findEntries(request.route.service);
		const address = addresses[queryIndex % Math.max(1, addresses.length)];
		const query = new URLSearchParams({service: request.route.service, key});
		const result = address && await sendAttempt({
			address,
			method: 'GET',
			path: `/orders?${query.toString()}`,
			headers: {[tenantHeader]: request.tenant},
			body: '',
			timeoutMs: stateQueryTimeoutMs,
			agent,
		});
		return result?.status === 200 ? (JSON.parse(result.body) as {state?: string}).state : undefined;
	};

	/**
	 * Queries the state of a key until it is settled. `done`: the request ran. `free`: it did not run and may be
	 * resent. `answerable`: an entry reported a state, which stayed unsettled. `silent`: no entry reported a state.
	 */
	const resolveInDoubt = async (request: CallerRequest, key: string): Promise<'done' | 'free' | 'answerable' | 'silent'> => {
		let unsettledReplies = 0;
		for (let queryIndex = 0; queryIndex < maximumStateQueries && unsettledReplies < maximumUnsettledReplies; queryIndex += 1) {
			const state = await queryState(request, key, queryIndex); // eslint-disable-line no-await-in-loop -- queries are sequential
			if (state === 'done') {
				return 'done';
			}

			if (state === 'absent' || state === 'released') {
				return 'free';
			}

			unsettledReplies += state === undefined ? 0 : 1;
			await delay(stateQueryIntervalMs); // eslint-disable-line no-await-in-loop -- queries are sequential
		}

		return unsettledReplies > 0 ? 'answerable' : 'silent';
	};

	const sendWithRetries = async (request: CallerRequest, attempts: AttemptRecord[], limit: number): Promise<void> => {
		const {route} = request;
		const previousAttemptCount = attempts.length;
		while (attempts.length < limit) {
			const addresses = await findEntries(route.service); // eslint-disable-line no-await-in-loop -- attempts are sequential
			if (addresses.length === 0) {
				return;
			}

			const address = addresses[attempts.length % addresses.length]!;
			const attempt = await attemptOnce(request, attempts.length + 1, address); // eslint-disable-line no-await-in-loop -- attempts are sequential
			attempts.push(attempt);
			if (!shouldRetry(attempt, attempts.slice(previousAttemptCount), getIdempotencyKey(request))) {
				return;
			}

			if (attempts.length < limit) {
				await delay(attempt.outcome === 'in-doubt' ? inDoubtRetryDelayMs : retryDelayMs); // eslint-disable-line no-await-in-loop -- attempts are sequential
			}
		}
	};

	/** Sends an at-most-once request. Its state is queried if it ends in doubt or without an answer. */
	const sendAtMostOnce = async (request: CallerRequest, key: string): Promise<CallerResult> => {
		const attempts: AttemptRecord[] = [];
		for (;;) {
			await sendWithRetries(request, attempts, maximumAtMostOnceAttempts); // eslint-disable-line no-await-in-loop -- retries follow state queries
			const outcome = determineOutcome(attempts, key);
			const result = {status: attempts.at(-1)?.status, attempts};
			if (outcome !== 'in-doubt' && outcome !== 'no-answer') {
				return {...result, outcome, isStateKnown: undefined};
			}

			const resolution = await resolveInDoubt(request, key); // eslint-disable-line no-await-in-loop -- retries follow state queries
			if (resolution === 'done') {
				return {...result, outcome: 'answered', isStateKnown: true};
			}

			if (resolution !== 'free' || attempts.length >= maximumAtMostOnceAttempts) {
				return {...result, outcome: 'in-doubt', isStateKnown: resolution !== 'silent'};
			}
		}
	};

	return {
		async send(request) {
			const key = getIdempotencyKey(request);
			if (key !== undefined) {
				return sendAtMostOnce(request, key);
			}

			const attempts: AttemptRecord[] = [];
			await sendWithRetries(request, attempts, maximumAttempts);
			return {
				outcome: determineOutcome(attempts, key), status: attempts.at(-1)?.status, isStateKnown: undefined, attempts,
			};
		},
	};
};
