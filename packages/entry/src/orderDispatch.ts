/**
 * Submits at-most-once requests to `Orders`, which claims the idempotency key and calls back for
 * the single dispatch. A dispatch that has been written continues if the caller disconnects, because its response is stored;
 * before that, it ends as not run.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {DispatchOutcome, KeptAnswer, Orders} from '@filbertwell/orders/orders';
import type {Send} from '@filbertwell/routing/attempt';
import type {Router} from '@filbertwell/routing/createRouter';
import {outcomeHeader} from '@filbertwell/types/headers';
import type {Clock} from '@filbertwell/utils/clock';
import {contentHash} from '@filbertwell/utils/hash';
import {sendLocalResponse} from './localResponse.js';
import {bufferResponse, maximumStoredBodyBytes} from './responseBuffer.js';
import {orderFailureResponse} from './failureResponse.js';
import type {ParsedRequest} from './requestParser.js';
import {callerHeaders} from './responseRelay.js';
import type {UpstreamResponse, UpstreamClient, UpstreamRequest} from './upstreamClient.js';

/** An at-most-once request and the dependencies for its dispatch. */
export type OrderContext = {
	readonly clock: Clock;
	readonly router: Router;
	readonly upstreams: UpstreamClient;
	readonly orders: Orders;
	readonly parsed: ParsedRequest;
	readonly startedAtMs: number;
	/** Aborted when the caller has left. */
	readonly callerLeft: AbortSignal;
	readonly request: UpstreamRequest;
};

const fingerprint = ({method, path, body}: UpstreamRequest): string => {
	const content = body.kind === 'buffered' ? body.content : Buffer.alloc(0);
	return contentHash(Buffer.concat([Buffer.from(`${method}\u0000${path}\u0000`), content]));
};

const toDispatchOutcome = async ({message, complete}: UpstreamResponse, requestId: string, remainingMs: number): Promise<DispatchOutcome> => {
	const buffered = await bufferResponse(message, callerHeaders(message, requestId), remainingMs);
	complete(buffered.kind === 'whole' ? 'complete' : 'truncated');
	switch (buffered.kind) {
		case 'whole': {
			return {kind: 'answered', answer: buffered.answer};
		}

		case 'truncated': {
			return {kind: 'in-doubt', reason: 'the upstream ran it, but its answer stopped short'};
		}

		case 'tooLarge': {
			return {kind: 'in-doubt', reason: `the upstream ran it, but its answer is over the ${maximumStoredBodyBytes} bytes that are kept`};
		}

		case 'late': {
			return {kind: 'in-doubt', reason: 'the upstream ran it, but its answer did not end before the deadline'};
		}
	}
};

/** Sends attempts until the caller leaves. The signal is aborted when the caller has left while no attempt is written. */
const createCancellableSend = ({upstreams, request, callerLeft}: OrderContext): {readonly signal: AbortSignal; readonly send: Send<UpstreamResponse>} => {
	const cancellation = new AbortController();
	let isWritten = false;
	const cancelUnlessWritten = () => {
		if (callerLeft.aborted && !isWritten) {
			cancellation.abort();
		}
	};

	callerLeft.addEventListener('abort', cancelUnlessWritten);
	return {
		signal: cancellation.signal,
		async send(endpoint, attempt) {
			const outcome = await upstreams.send(endpoint, attempt, {
				...request,
				onWrite() {
					isWritten = true;
				},
			});
			if (outcome.kind === 'not-run') {
				isWritten = false;
				cancelUnlessWritten();
			}

			return outcome;
		},
	};
};

const sendStoredResponse = (response: ServerResponse, {status, headers, body}: KeptAnswer, isReplayed: boolean): void => {
	if (response.destroyed) {
		return;
	}

	response.writeHead(status, [...headers.flat(), ...isReplayed ? [outcomeHeader, 'replayed'] : []]);
	response.end(Buffer.from(body, 'base64'));
};

/**
 * Submits an at-most-once request and sends the response to the caller.
 *
 * @param context - The request and its dependencies.
 * @param response - The caller's response.
 * @returns Kind of the outcome, for the metrics; never rejects.
 */
export const submitOrder = async (context: OrderContext, response: ServerResponse): Promise<string> => {
	const {clock, router, orders, parsed, startedAtMs, callerLeft, request} = context;
	const deadlineAtMs = startedAtMs + parsed.deadlineMs;
	const key = parsed.idempotencyKey ?? '';

	const dispatch = async (): Promise<DispatchOutcome> => {
		if (callerLeft.aborted) {
			return {kind: 'not-run', reason: 'the caller has left'};
		}

		const {signal, send} = createCancellableSend(context);
		const outcome = await router.route({
			service: parsed.service.name,
			route: parsed.route,
			tenant: parsed.tenant,
			deadlineAtMs,
			signal,
			replayable: true,
		}, send);
		switch (outcome.kind) {
			case 'answered': {
				return toDispatchOutcome(outcome.answer, parsed.id, deadlineAtMs - clock());
			}

			case 'not-run':
			case 'in-doubt': {
				return {kind: outcome.kind, reason: outcome.detail};
			}

			case 'cancelled': {
				return {kind: outcome.written ? 'in-doubt' : 'not-run', reason: 'the attempt was cancelled'};
			}
		}
	};

	const outcome = await orders.submit({
		service: parsed.service.name,
		tenant: parsed.tenant,
		key,
		fingerprint: fingerprint(request),
		attempt: parsed.attempt,
		claimOutage: parsed.route.claimOutage,
		remainingMs: deadlineAtMs - clock(),
		isAbandoned: () => callerLeft.aborted,
		dispatch,
	});
	if (outcome.kind === 'answered' || outcome.kind === 'replayed') {
		sendStoredResponse(response, outcome.answer, outcome.kind === 'replayed');
	} else {
		sendLocalResponse(response, orderFailureResponse(outcome, parsed.service.name, key));
	}

	return outcome.kind;
};
