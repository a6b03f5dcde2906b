/**
 * Handles a caller's request for a service: reads its body as the route requires, routes it and
 * relays the response.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Metrics} from '@filbertwell/metrics/metrics';
import type {Orders} from '@filbertwell/orders/orders';
import type {Router} from '@filbertwell/routing/createRouter';
import type {RoutedRequest} from '@filbertwell/routing/routedRequest';
import type {Clock} from '@filbertwell/utils/clock';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {type LocalResponse, problemResponse, sendLocalResponse} from './localResponse.js';
import {submitOrder} from './orderDispatch.js';
import {routeFailureResponse} from './failureResponse.js';
import {limitStream, readBody} from './requestBody.js';
import {refusalOutcome, type ParsedRequest} from './requestParser.js';
import {callerHeaders, relayResponse} from './responseRelay.js';
import {upstreamHeaders} from './upstreamHeaders.js';
import type {UpstreamBody} from './upstreamBody.js';
import type {UpstreamClient, UpstreamRequest} from './upstreamClient.js';

/** Dependencies of the request handler. */
export type RequestHandlerOptions = {
	readonly clock: Clock;
	readonly router: Router;
	readonly upstreams: UpstreamClient;
	readonly orders: Orders;
	readonly metrics: Pick<Metrics, 'recordLatency' | 'increment'>;
	readonly log: Logger;
};

/** Handles a parsed request until its response has ended. The signal is aborted when its caller has left. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, parsed: ParsedRequest, callerLeft: AbortSignal) => Promise<void>;

/** A request whose body is ready to be sent. */
type PreparedRequest = {
	readonly body: UpstreamBody;
	readonly startedAtMs: number;
	readonly callerLeft: AbortSignal;
};

const bodyTooLargeResponse = ({service}: ParsedRequest): LocalResponse => ({
	...problemResponse(413, 'not-run', 'bodyTooLarge', `the body is over the ${service.maximumBodyBytes} bytes that service "${service.name}" takes`),
	closesConnection: true,
});

const bodyTooSlowResponse = ({route, attempt}: ParsedRequest): LocalResponse => ({
	...problemResponse(408, refusalOutcome(route.kind, attempt), 'bodyTooSlow', 'the body did not arrive before the deadline; this attempt was not run'),
	closesConnection: true,
});

/**
 * Creates the handler for parsed requests.
 *
 * @param options - Router, upstream client, store of at-most-once requests, clock and metrics.
 * @returns The handler; it never rejects.
 */
export const createRequestHandler = (options: RequestHandlerOptions): RequestHandler => {
	const {clock, router, upstreams, orders, metrics, log} = options;

	const countOutcome = (parsed: ParsedRequest, outcome: string) => {
		metrics.increment('requests_total', {service: parsed.service.name, class: parsed.route.requestClass, outcome});
	};

	const recordLatency = ({service, route, tenant}: ParsedRequest, startedAtMs: number) => {
		metrics.recordLatency({service: service.name, requestClass: route.requestClass, tenant}, clock() - startedAtMs);
	};

	const respond = (response: ServerResponse, parsed: ParsedRequest, answer: LocalResponse) => {
		countOutcome(parsed, answer.outcome);
		sendLocalResponse(response, answer);
	};

	const upstreamRequest = (request: IncomingMessage, parsed: ParsedRequest, body: UpstreamBody): UpstreamRequest => ({
		method: parsed.method,
		path: parsed.path,
		headers: upstreamHeaders(request, parsed, body),
		body,
		mayReuseConnection: parsed.route.kind === 'idempotent',
	});

	const routeIdempotent = async (request: IncomingMessage, response: ServerResponse, parsed: ParsedRequest, prepared: PreparedRequest) => {
		const {body, startedAtMs, callerLeft} = prepared;
		const cancellation = new AbortController();
		const onClose = () => {
			if (!response.writableFinished) {
				cancellation.abort();
			}
		};

		response.once('close', onClose);
		callerLeft.addEventListener('abort', onClose);
		let isOverLimit = false;
		if (body.kind === 'streamed') {
			limitStream(request, parsed.service.maximumBodyBytes, () => {
				isOverLimit = true;
				cancellation.abort();
			});
		}

		const outgoing = upstreamRequest(request, parsed, body);
		const routedRequest: RoutedRequest = {
			service: parsed.service.name,
			route: parsed.route,
			tenant: parsed.tenant,
			deadlineAtMs: startedAtMs + parsed.deadlineMs,
			signal: cancellation.signal,
			replayable: body.kind !== 'streamed',
		};
		const outcome = await router.route(routedRequest, async (endpoint, attempt) => upstreams.send(endpoint, attempt, outgoing));
		if (outcome.kind === 'answered') {
			const {message, complete} = outcome.answer;
			const completion = await relayResponse(message, response, callerHeaders(message, parsed.id));
			complete(completion);
			countOutcome(parsed, completion === 'complete' ? 'relayed' : completion);
			recordLatency(parsed, startedAtMs);
			return;
		}

		const answer = isOverLimit ? bodyTooLargeResponse(parsed) : routeFailureResponse(outcome);
		const mayHaveRun = isOverLimit && outcome.kind === 'cancelled' && outcome.written;
		respond(response, parsed, {...answer, outcome: mayHaveRun ? 'in-doubt' : answer.outcome, closesConnection: body.kind === 'streamed'});
	};

	return async (request, response, parsed, callerLeft) => {
		const startedAtMs = clock();
		callerLeft.addEventListener('abort', () => {
			if (!response.writableFinished) {
				log(entryEvents.callerDisconnected, {
					request: parsed.id, service: parsed.service.name, route: parsed.route.name, readMsAgo: Math.round(clock() - startedAtMs),
				});
			}
		});
		const isAtMostOnce = parsed.route.kind === 'atMostOnce';
		const bodyOutcome = await readBody(request, {
			declaredBytes: parsed.bodyBytes,
			maximumBytes: parsed.service.maximumBodyBytes,
			mustBuffer: isAtMostOnce,
			remainingMs: parsed.deadlineMs,
		});
		if (bodyOutcome.kind === 'gone') {
			return;
		}

		if (bodyOutcome.kind !== 'ready') {
			respond(response, parsed, bodyOutcome.kind === 'tooLarge' ? bodyTooLargeResponse(parsed) : bodyTooSlowResponse(parsed));
			return;
		}

		if (!isAtMostOnce) {
			await routeIdempotent(request, response, parsed, {body: bodyOutcome.body, startedAtMs, callerLeft});
			return;
		}

		// The close of the caller's connection may have been received with the request.
		await afterNextPoll();
		if (callerLeft.aborted) {
			countOutcome(parsed, 'cancelled');
			return;
		}

		const outcome = await submitOrder({
			clock, router, upstreams, orders, parsed, startedAtMs, callerLeft, request: upstreamRequest(request, parsed, bodyOutcome.body),
		}, response);
		countOutcome(parsed, outcome);
		recordLatency(parsed, startedAtMs);
	};
};
