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
const inDoubtPauseMs = 300;
/** Resends of a request that stays in doubt, before the caller asks instead. */
const inDoubtResends = 5;
/** Questions while no entry can tell, and once one has told that the request is not settled. */
const questionsUnanswered = 60;
const questionsUnsettled = 4;
const questionPauseMs = 500;
const questionTimeoutMs = 2000;

/** Outcomes after which another attempt may help. An at-most-once request is resent under its key, also in doubt. */
const resendOutcomes: ReadonlySet<AttemptOutcome> = new Set(['unreachable', 'not-run', 'lost', 'cut-off', 'timed-out', 'foreign']);

const mayHelp = (attempt: AttemptRecord, attempts: readonly AttemptRecord[], key: string | undefined): boolean => {
	const inDoubt = attempts.filter(({outcome}) => outcome === 'in-doubt').length;
	return resendOutcomes.has(attempt.outcome) || (key !== undefined && attempt.outcome === 'in-doubt' && inDoubt <= inDoubtResends);
};

/** Under a key, a refusal speaks for all attempts; without one, for its own alone. */
const finalOutcome = (attempts: readonly AttemptRecord[], key: string | undefined): RequestOutcome => {
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

	const askOnce = async (request: CallerRequest, key: string, question: number): Promise<string | undefined> => {
		const addresses = await findEntries(request.route.service);
		const address = addresses[question % Math.max(1, addresses.length)];
		const query = new URLSearchParams({service: request.route.service, key});
		const result = address && await sendAttempt({
			address,
			method: 'GET',
			path: `/orders?${query.toString()}`,
			headers: {[tenantHeader]: request.tenant},
			body: '',
			timeoutMs: questionTimeoutMs,
			agent,
		});
		return result?.status === 200 ? (JSON.parse(result.body) as {state?: string}).state : undefined;
	};

	/** Asks after a key until it is settled; `free` where a resend may run it, `answerable` where it stays in doubt. */
	const askAfter = async (request: CallerRequest, key: string): Promise<'done' | 'free' | 'answerable' | 'silent'> => {
		let told = 0;
		for (let question = 0; question < questionsUnanswered && told < questionsUnsettled; question += 1) {
			const state = await askOnce(request, key, question); // eslint-disable-line no-await-in-loop -- one question after another
			if (state === 'done') {
				return 'done';
			}

			if (state === 'absent' || state === 'released') {
				return 'free';
			}

			told += state === undefined ? 0 : 1;
			await delay(questionPauseMs); // eslint-disable-line no-await-in-loop -- one question after another
		}

		return told > 0 ? 'answerable' : 'silent';
	};

	const sendWhileHelpful = async (request: CallerRequest, attempts: AttemptRecord[], limit: number): Promise<void> => {
		const {route} = request;
		const earlier = attempts.length;
		while (attempts.length < limit) {
			const addresses = await findEntries(route.service); // eslint-disable-line no-await-in-loop -- one attempt after another
			if (addresses.length === 0) {
				return;
			}

			const address = addresses[attempts.length % addresses.length]!;
			const attempt = await attemptOnce(request, attempts.length + 1, address); // eslint-disable-line no-await-in-loop -- one attempt after another
			attempts.push(attempt);
			if (!mayHelp(attempt, attempts.slice(earlier), keyOf(request))) {
				return;
			}

			if (attempts.length < limit) {
				await delay(attempt.outcome === 'in-doubt' ? inDoubtPauseMs : resendPauseMs); // eslint-disable-line no-await-in-loop -- one attempt after another
			}
		}
	};

	/** An at-most-once request without an answer is in doubt to its caller too. */
	const sendOrder = async (request: CallerRequest, key: string): Promise<CallerResult> => {
		const attempts: AttemptRecord[] = [];
		for (;;) {
			await sendWhileHelpful(request, attempts, maximumOrderAttempts); // eslint-disable-line no-await-in-loop -- resends follow questions
			const outcome = finalOutcome(attempts, key);
			const result = {status: attempts.at(-1)?.status, attempts};
			if (outcome !== 'in-doubt' && outcome !== 'no-answer') {
				return {...result, outcome, askable: undefined};
			}

			const asked = await askAfter(request, key); // eslint-disable-line no-await-in-loop -- resends follow questions
			if (asked === 'done') {
				return {...result, outcome: 'answered', askable: true};
			}

			if (asked !== 'free' || attempts.length >= maximumOrderAttempts) {
				return {...result, outcome: 'in-doubt', askable: asked !== 'silent'};
			}
		}
	};

	return {
		async send(request) {
			const key = keyOf(request);
			if (key !== undefined) {
				return sendOrder(request, key);
			}

			const attempts: AttemptRecord[] = [];
			await sendWhileHelpful(request, attempts, maximumAttempts);
			return {
				outcome: finalOutcome(attempts, key), status: attempts.at(-1)?.status, askable: undefined, attempts,
			};
		},
	};
};
