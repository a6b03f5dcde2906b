/**
 * One caller's request for a service: reads its body as the route needs it, routes it, and
 * relays the answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Metrics} from '@filbertwell/metrics/metrics';
import type {Orders} from '@filbertwell/orders/orders';
import type {Router} from '@filbertwell/routing/createRouter';
import type {RoutedRequest} from '@filbertwell/routing/routedRequest';
import type {Clock} from '@filbertwell/utils/clock';
import {type OwnAnswer, problemAnswer, sendOwnAnswer} from './answer.js';
import {submitOrder} from './orderDispatch.js';
import {answerUnanswered} from './outcomeAnswer.js';
import {limitStream, readBody} from './requestBody.js';
import {earlyRefusal, type ParsedRequest} from './requestParser.js';
import {callerHeaders, relayAnswer} from './responseRelay.js';
import {upstreamHeaders} from './upstreamHeaders.js';
import type {UpstreamBody, UpstreamClient, UpstreamRequest} from './upstreamClient.js';

/** Parts that a request needs. */
export type RequestHandlerOptions = {
	readonly clock: Clock;
	readonly router: Router;
	readonly upstreams: UpstreamClient;
	readonly orders: Orders;
	readonly metrics: Pick<Metrics, 'recordLatency' | 'increment'>;
};

/** Handles one parsed request to the end of its answer. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, parsed: ParsedRequest) => Promise<void>;

const tooLarge = ({service}: ParsedRequest): OwnAnswer => ({
	...problemAnswer(413, 'not-run', 'bodyTooLarge', `the body is over the ${service.maximumBodyBytes} bytes that service "${service.name}" takes`),
	closesConnection: true,
});

const late = ({route, attempt}: ParsedRequest): OwnAnswer => ({
	...problemAnswer(408, earlyRefusal(route.kind, attempt), 'bodyTooSlow', 'the body did not arrive before the deadline; this attempt was not run'),
	closesConnection: true,
});

/**
 * Creates the handler.
 *
 * @param options - Router, client and orders.
 * @returns The handler; it never rejects.
 */
export const createRequestHandler = (options: RequestHandlerOptions): RequestHandler => {
	const {clock, router, upstreams, orders, metrics} = options;

	const countOutcome = (parsed: ParsedRequest, outcome: string) => {
		metrics.increment('requests_total', {service: parsed.service.name, class: parsed.route.requestClass, outcome});
	};

	const recordLatency = ({service, route, tenant}: ParsedRequest, startedAtMs: number) => {
		metrics.recordLatency({service: service.name, requestClass: route.requestClass, tenant}, clock() - startedAtMs);
	};

	const sendOwn = (response: ServerResponse, parsed: ParsedRequest, answer: OwnAnswer) => {
		countOutcome(parsed, answer.outcome);
		sendOwnAnswer(response, answer);
	};

	const upstreamRequest = (request: IncomingMessage, parsed: ParsedRequest, body: UpstreamBody): UpstreamRequest => ({
		method: parsed.method,
		path: parsed.path,
		headers: upstreamHeaders(request, parsed, body),
		body,
		mayReuseConnection: parsed.route.kind === 'idempotent',
	});

	const routeIdempotent = async (request: IncomingMessage, response: ServerResponse, parsed: ParsedRequest, prepared: {readonly body: UpstreamBody; readonly startedAtMs: number}) => {
		const {body, startedAtMs} = prepared;
		const callerGone = new AbortController();
		const onClose = () => {
			if (!response.writableFinished) {
				callerGone.abort();
			}
		};

		response.once('close', onClose);
		let passedLimit = false;
		if (body.kind === 'streamed') {
			limitStream(request, parsed.service.maximumBodyBytes, () => {
				passedLimit = true;
				callerGone.abort();
			});
		}

		const outgoing = upstreamRequest(request, parsed, body);
		const routed: RoutedRequest = {
			service: parsed.service.name,
			route: parsed.route,
			tenant: parsed.tenant,
			deadlineAtMs: startedAtMs + parsed.deadlineMs,
			signal: callerGone.signal,
			replayable: body.kind !== 'streamed',
		};
		const outcome = await router.route(routed, async (endpoint, attempt) => upstreams.send(endpoint, attempt, outgoing));
		if (outcome.kind === 'answered') {
			const {message, complete} = outcome.answer;
			const completion = await relayAnswer(message, response, callerHeaders(message, parsed.id));
			complete(completion);
			countOutcome(parsed, completion === 'complete' ? 'relayed' : completion);
			recordLatency(parsed, startedAtMs);
			return;
		}

		const answer = passedLimit ? tooLarge(parsed) : answerUnanswered(outcome);
		const ranPerhaps = passedLimit && outcome.kind === 'cancelled' && outcome.written;
		sendOwn(response, parsed, {...answer, outcome: ranPerhaps ? 'in-doubt' : answer.outcome, closesConnection: body.kind === 'streamed'});
	};

	return async (request, response, parsed) => {
		const startedAtMs = clock();
		const isOrder = parsed.route.kind === 'atMostOnce';
		const read = await readBody(request, {
			declaredBytes: parsed.bodyBytes,
			maximumBytes: parsed.service.maximumBodyBytes,
			mustBeWhole: isOrder,
			remainingMs: parsed.deadlineMs,
		});
		if (read.kind === 'gone') {
			return;
		}

		if (read.kind !== 'ready') {
			sendOwn(response, parsed, read.kind === 'tooLarge' ? tooLarge(parsed) : late(parsed));
			return;
		}

		if (!isOrder) {
			await routeIdempotent(request, response, parsed, {body: read.body, startedAtMs});
			return;
		}

		const outcome = await submitOrder({
			clock, router, upstreams, orders, parsed, startedAtMs, request: upstreamRequest(request, parsed, read.body),
		}, response);
		countOutcome(parsed, outcome);
		recordLatency(parsed, startedAtMs);
	};
};
