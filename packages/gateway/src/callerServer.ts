/**
 * HTTP/1.1 server that accepts callers' requests, matches them to a route and forwards them to endpoints.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {createRouteTable, type RouteTable} from '@filbertwell/dispatch/routeTable';
import {createServiceSplit} from '@filbertwell/dispatch/serviceSplit';
import {headerBytes} from '@filbertwell/entry/headerBytes';
import {endToEndHeaders} from '@filbertwell/entry/hopByHopHeaders';
import {headerProblem} from '@filbertwell/entry/messageHead';
import {stopListening} from '@filbertwell/entry/stopListening';
import {gatewayEvents} from '@filbertwell/logger/events/gatewayEvents';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {SocketAddress} from '@filbertwell/types/place';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import type {Clock} from '@filbertwell/utils/clock';
import {type GatewayResponse, sendEndpointResponse, sendGatewayResponse} from './callerResponse.js';
import {createCallerConnections, type OpenRequest} from './callerConnections.js';
import {
	affinityKeyOf, callerTimeoutMs, readWholeBody,
} from './callerRequest.js';
import type {ForwardRequest, ForwardResult} from './forwardRequest.js';
import type {GatewayHeaders} from './gatewayHeaders.js';
import {sendPartialBody} from './largeResponse.js';
import {createMalformedRequestHandler} from './malformedRequest.js';
import {resetConnection} from './resetConnection.js';

/** Dependencies of the server. */
export type CallerServerOptions = {
	readonly address: SocketAddress;
	readonly clock: Clock;
	readonly headers: GatewayHeaders;
	/** The traffic plan in force; `undefined` until the first one has been received. */
	readonly plan: () => TrafficPlan | undefined;
	/** Time since the plan was last known to be the newest one, in milliseconds. */
	readonly planAgeMs: () => number;
	/** Whether a newer plan may exist that this instance should know. A request without a route is then rejected as not run. */
	readonly isPlanOutdated: () => boolean;
	readonly forward: ForwardRequest;
	/** Whether the gateway is shutting down; each connection is then closed after its last response. */
	readonly isShuttingDown: () => boolean;
	/** Whether a request that may last for some milliseconds is taken. Others are rejected as not run, because the process exits before. */
	readonly takesRequest: (timeoutMs: number) => boolean;
	/** Called for each request with the route name (`none` without a match), the duration and the status (`gone` without a response). */
	readonly onRequestEnded: (route: string, milliseconds: number, outcome: string) => void;
	readonly log: Logger;
};

/** Handle of a listening server. */
export type CallerServer = {
	readonly openRequestCount: () => number;
	/** Whether a caller has just connected whose first request is still expected. */
	readonly isRequestExpected: () => boolean;
	/** Accepts the connections that are already established, then stops listening. */
	readonly stopListening: () => Promise<void>;
	/** Closes connections without an open or an expected request. */
	readonly closeIdle: () => void;
};

/** Limit of the HTTP parser, above what any plan allows. The limit of the plan is checked for each request. */
const parserHeaderLimitBytes = 262_144;
/** Interval at which Node.js checks for timeouts; a shorter header timeout would have no effect. */
const timeoutCheckIntervalMs = 1000;
/** Retry delay while the plan is missing or outdated: enough time to read it from the store or from a peer. */
const outdatedPlanRetryAfterSeconds = 0.5;

/** Retry delay while this instance stops: another one can take the request at once. */
const stoppingRetryAfterSeconds = 0.1;

/**
 * Starts the server.
 *
 * @param options - Address to listen on and dependencies.
 * @returns The server once it is listening; rejects if it can't listen on the address.
 */
export const startCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
	const {address, clock, headers, plan, planAgeMs, isPlanOutdated, forward, isShuttingDown, takesRequest, onRequestEnded, log} = options;
	const connections = createCallerConnections(clock);
	const chooseService = createServiceSplit();
	const omittedRequestHeaders = new Set([headers.deadline, headers.expectedEndpoint, 'content-length']);
	const omittedResponseHeaders = new Set([headers.load, 'content-length']);
	let routeTable: RouteTable | undefined;

	const routeTableOf = (currentPlan: TrafficPlan): RouteTable => {
		if (routeTable?.plan !== currentPlan) {
			routeTable = createRouteTable(currentPlan);
			server.keepAliveTimeout = currentPlan.limits.idleTimeoutMs;
			server.headersTimeout = Math.max(currentPlan.limits.headerTimeoutMs, timeoutCheckIntervalMs);
		}

		return routeTable;
	};

	const requestIdOf = ({headers: {[headers.requestId]: value}}: IncomingMessage): string | undefined => typeof value === 'string' && value !== '' ? value : undefined;

	/** Rejects a request that is not forwarded. */
	const reject = (request: IncomingMessage, status: number, problem: string, details: Partial<GatewayResponse> = {}): ForwardResult => {
		log(gatewayEvents.requestRejected, {
			request: requestIdOf(request), status, problem, host: request.headers.host, path: request.url, planVersion: plan()?.version, planAgeMs: Math.round(planAgeMs()),
		});
		return {kind: 'own', response: {status, problem, ...details}};
	};

	const handleRequest = async (request: IncomingMessage, arrivedAtMs: number, openRequest: OpenRequest): Promise<ForwardResult & {readonly route?: string}> => {
		const currentPlan = plan();
		if (currentPlan === undefined) {
			return reject(request, 503, 'no traffic plan is in force yet; the request did not run', {retryAfterSeconds: outdatedPlanRetryAfterSeconds});
		}

		const route = routeTableOf(currentPlan).routeOf(request.headers.host ?? '', request.url ?? '/');
		if (route === undefined) {
			request.resume();
			if (isPlanOutdated()) {
				return reject(request, 503, 'no route matches, but the traffic plan may be outdated; the request did not run', {retryAfterSeconds: outdatedPlanRetryAfterSeconds});
			}

			return reject(request, 404, `no route matches host "${request.headers.host ?? ''}" and path "${request.url ?? ''}"`);
		}

		if (headerBytes(request.rawHeaders) > currentPlan.limits.maximumHeaderBytes) {
			return reject(request, 431, `the header block is over ${currentPlan.limits.maximumHeaderBytes} bytes`, {closesConnection: true});
		}

		const problem = headerProblem(request.rawHeaders);
		if (problem !== undefined) {
			return reject(request, 400, problem, {closesConnection: true});
		}

		const bodyResult = await readWholeBody(request, currentPlan.limits);
		if (bodyResult.kind !== 'whole') {
			return bodyResult.kind === 'gone' ? {kind: 'gone'} : reject(request, 413, `the body is over ${currentPlan.limits.maximumBodyBytes} bytes`, {closesConnection: true});
		}

		const timeoutMs = callerTimeoutMs(request, headers);
		if (!takesRequest(Math.min(route.timeoutMs, timeoutMs ?? route.timeoutMs))) {
			return {...reject(request, 503, 'this instance stops too soon to answer; the request did not run', {retryAfterSeconds: stoppingRetryAfterSeconds}), route: route.name};
		}

		const {body} = bodyResult;
		const forwardedHeaders = endToEndHeaders(request.rawHeaders, omittedRequestHeaders);
		if (body.length > 0 || request.headers['content-length'] !== undefined) {
			forwardedHeaders.push('Content-Length', String(body.length));
		}

		const result = await forward({
			route,
			service: chooseService(route),
			affinityKey: affinityKeyOf(request.headers.cookie, headers.affinityCookie),
			request: {
				method: request.method ?? 'GET', path: request.url ?? '/', headers: forwardedHeaders, body, requestId: requestIdOf(request),
			},
			arrivedAtMs,
			callerTimeoutMs: timeoutMs,
			callerDisconnected: openRequest.callerDisconnected,
		});
		return {...result, route: route.name};
	};

	/** Writes the result to the caller. If the response has no length, closing the connection must not cut off other responses. */
	const respond = async (request: IncomingMessage, response: ServerResponse, result: ForwardResult, isCutByClose: boolean): Promise<void> => {
		if (result.kind === 'own') {
			sendGatewayResponse(response, result.response);
		}

		if (result.kind !== 'endpoint') {
			return;
		}

		const {response: endpointResponse, lifetime} = result;
		if (isCutByClose) {
			lifetime.abort();
			sendGatewayResponse(response, {status: 502, problem: 'the endpoint\'s answer has no length; the request may have run'});
			return;
		}

		const rest = sendEndpointResponse(response, endpointResponse, omittedResponseHeaders);
		if (rest !== undefined) {
			const problem = await sendPartialBody({
				response, socket: request.socket, body: rest, signal: lifetime.signal,
			});
			lifetime.end();
			if (problem !== undefined) {
				log(gatewayEvents.responseCutOff, {request: requestIdOf(request), problem});
			}
		}
	};

	const answer = async (request: IncomingMessage, response: ServerResponse, openRequest: OpenRequest): Promise<void> => {
		const arrivedAtMs = clock();
		const result = await handleRequest(request, arrivedAtMs, openRequest);
		const isBodyUnread = result.kind === 'own' && result.response.closesConnection === true;
		const isCloseDelimited = result.kind === 'endpoint' && result.response.isCloseDelimited;
		if (isBodyUnread || (openRequest.isOnlyRequest() && (isShuttingDown() || isCloseDelimited))) {
			openRequest.closeAfterResponse();
			response.shouldKeepAlive = false;
		}

		// A response is open until it has been handed to the operating system; a process that exits earlier would cut it off.
		if (result.kind === 'gone' || response.closed) {
			openRequest.end();
		} else {
			response.once('close', openRequest.end);
		}

		await respond(request, response, result, isCloseDelimited && !openRequest.isOnlyRequest());
		onRequestEnded(result.route ?? 'none', clock() - arrivedAtMs, result.kind === 'gone' ? 'gone' : String(result.response.status));
	};

	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const openRequest = connections.beginRequest(request.socket);
		if (openRequest === undefined) {
			// The request arrived while the connection was closing. The caller sees a closed connection without a response
			// and can send the request to another instance. An open response closes the connection when it is complete.
			log(gatewayEvents.requestNotRead, {request: requestIdOf(request)});
			if (!connections.hasOpenRequest(request.socket)) {
				request.socket.destroy();
			}

			return;
		}

		response.on('error', () => undefined);
		request.on('error', () => undefined);
		try {
			await answer(request, response, openRequest);
		} catch (error) {
			log(processEvents.unexpectedError, {request: requestIdOf(request), error: error instanceof Error ? error.stack : String(error)});
			resetConnection(request.socket);
			openRequest.end();
		}
	};

	const server: Server = createServer({
		maxHeaderSize: parserHeaderLimitBytes, noDelay: true, connectionsCheckingInterval: timeoutCheckIntervalMs,
	}, (request, response) => {
		void serve(request, response);
	});
	server.on('connection', (socket: Socket) => {
		connections.add(socket);
	});
	server.on('clientError', createMalformedRequestHandler(connections, log));
	server.listen(address.port, address.host);
	await once(server, 'listening');

	return {
		openRequestCount: connections.openRequestCount,
		isRequestExpected: connections.isRequestExpected,
		stopListening: async () => stopListening(server),
		closeIdle: connections.closeIdle,
	};
};
