/**
 * A caller: sends a request, tries the next entry where that is safe, resends at-most-once
 * requests under the same key, and asks after those in doubt.
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

/** A request as the caller has it. */
export type CallerRequest = {
	readonly id: string;
	readonly route: RouteLoad;
	readonly tenant: string;
};

/** Parameters of a caller. */
export type CallerOptions = {
	readonly agent: Agent;
	/** Entries in order of preference for the next attempt. */
	readonly findEntries: (service: string) => Promise<readonly SocketAddress[]>;
	readonly maximumAttempts: number;
	readonly maximumOrderAttempts: number;
};

/** What became of a request. */
export type CallerResult = {
	readonly outcome: RequestOutcome;
	readonly status: number | undefined;
	readonly askable: boolean | undefined;
	readonly attempts: readonly AttemptRecord[];
};

/** A caller. */
export type Caller = {
	readonly send: (request: CallerRequest) => Promise<CallerResult>;
};

/** A caller waits longer than its deadline, so that the entry's own refusal arrives. */
const timeoutMarginMs = 1000;
const resendPauseMs = 50;
const questions = 8;
const questionPauseMs = 250;
const questionTimeoutMs = 2000;

/** Outcomes after which another attempt may help. An at-most-once request is resent under its key. */
const resendOutcomes: ReadonlySet<AttemptOutcome> = new Set(['unreachable', 'not-run', 'lost', 'cut-off', 'timed-out', 'foreign']);

const finalOutcome = (attempts: readonly AttemptRecord[]): RequestOutcome => {
	const last = attempts.at(-1)?.outcome;
	if (last === 'answered' || last === 'replayed') {
		return 'answered';
	}

	if (last === 'in-doubt' || last === 'invalid') {
		return last;
	}

	return attempts.every(({outcome}) => outcome === 'not-run' || outcome === 'unreachable') && last === 'not-run' ? 'not-run' : 'no-answer';
};

const isOwnAnswer = (result: AttemptResult, expected: {readonly requestId: string; readonly key: string | undefined}): boolean => {
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
 * Gives the idempotency key of a request.
 *
 * @param request - The request.
 * @returns Its key; `undefined` for idempotent routes.
 */
export const keyOf = ({id, route}: CallerRequest): string | undefined => route.kind === 'atMostOnce' ? `key-${id}` : undefined;

/**
 * Creates a caller. Its upstreams must be stand-ins, whose answers name the request.
 *
 * @param options - Agent, entries and numbers of attempts.
 * @returns The caller.
 */
export const createCaller = ({agent, findEntries, maximumAttempts, maximumOrderAttempts}: CallerOptions): Caller => {
	const attemptOnce = async (request: CallerRequest, attempt: number, address: SocketAddress): Promise<AttemptRecord> => {
		const {route, tenant} = request;
		const key = keyOf(request);
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
			timeoutMs: route.deadlineMs + timeoutMarginMs,
			agent,
		});
		const foreign = (result.outcome === 'answered' || result.outcome === 'replayed') && !isOwnAnswer(result, {requestId, key});
		return {
			requestId,
			address: `${address.host}:${address.port}`,
			outcome: foreign ? 'foreign' : result.outcome,
			status: result.status,
			bytes: result.body.length,
			detail: result.detail,
		};
	};

	/** Asks after a key until it is settled; `answerable` once any entry told its state. */
	const askAfter = async (request: CallerRequest, key: string): Promise<'done' | 'answerable' | 'silent'> => {
		const query = new URLSearchParams({service: request.route.service, key});
		let heard: 'answerable' | 'silent' = 'silent';
		for (let question = 0; question < questions; question += 1) {
			const addresses = await findEntries(request.route.service); // eslint-disable-line no-await-in-loop -- one question after another
			const address = addresses[question % Math.max(1, addresses.length)];
			const result = address && await sendAttempt({ // eslint-disable-line no-await-in-loop -- one question after another
				address,
				method: 'GET',
				path: `/orders?${query.toString()}`,
				headers: {[tenantHeader]: request.tenant},
				body: '',
				timeoutMs: questionTimeoutMs,
				agent,
			});
			if (result?.status === 200) {
				heard = 'answerable';
				if ((JSON.parse(result.body) as {state?: string}).state === 'done') {
					return 'done';
				}
			}

			await delay(questionPauseMs); // eslint-disable-line no-await-in-loop -- one question after another
		}

		return heard;
	};

	return {
		async send(request) {
			const {route} = request;
			const key = keyOf(request);
			const limit = key === undefined ? maximumAttempts : maximumOrderAttempts;
			const attempts: AttemptRecord[] = [];
			while (attempts.length < limit) {
				const addresses = await findEntries(route.service); // eslint-disable-line no-await-in-loop -- one attempt after another
				if (addresses.length === 0) {
					break;
				}

				const address = addresses[attempts.length % addresses.length]!;
				const attempt = await attemptOnce(request, attempts.length + 1, address); // eslint-disable-line no-await-in-loop -- one attempt after another
				attempts.push(attempt);
				if (!resendOutcomes.has(attempt.outcome)) {
					break;
				}

				if (attempts.length < limit) {
					await delay(resendPauseMs); // eslint-disable-line no-await-in-loop -- one attempt after another
				}
			}

			const outcome = finalOutcome(attempts);
			const asked = outcome === 'in-doubt' && key !== undefined ? await askAfter(request, key) : undefined;
			return {
				outcome: asked === 'done' ? 'answered' : outcome,
				status: attempts.at(-1)?.status,
				askable: asked === undefined ? undefined : asked !== 'silent',
				attempts,
			};
		},
	};
};
