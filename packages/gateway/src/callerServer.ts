/**
 * HTTP/1.1 server for callers.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {createRouteTable, type RouteTable} from '@filbertwell/dispatch/routeTable';
import {createServiceSplit} from '@filbertwell/dispatch/serviceSplit';
import {headerBytes} from '@filbertwell/entry/headerBytes';
import {endToEndHeaders} from '@filbertwell/entry/hopByHopHeaders';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import {gatewayEvents} from '@filbertwell/logger/events/gatewayEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {SocketAddress} from '@filbertwell/types/place';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import type {Clock} from '@filbertwell/utils/clock';
import {type OwnAnswer, sendEndpointAnswer, sendOwnAnswer} from './callerAnswer.js';
import {createCallerConnections, type OpenRequest} from './callerConnections.js';
import {
	affinityKeyOf, callerDeadlineMs, readWholeBody,
} from './callerRequest.js';
import type {ForwardRequest, ForwardResult} from './forwardRequest.js';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** Parameters of the server. */
export type CallerServerOptions = {
	readonly address: SocketAddress;
	readonly clock: Clock;
	readonly headers: GatewayHeaders;
	/** The plan in force; `undefined` before the first. */
	readonly plan: () => TrafficPlan | undefined;
	readonly forward: ForwardRequest;
	/** Whether callers are to leave: each connection is then closed after its last answer. */
	readonly isLeaving: () => boolean;
	readonly onAnswered: (route: string, milliseconds: number, outcome: string) => void;
	readonly log: Logger;
};

/** A running server. */
export type CallerServer = {
	readonly openRequests: () => number;
	/** Stops taking connections and closes the idle ones. */
	readonly stopListening: () => void;
	readonly closeIdle: () => void;
};

/** Above what any plan allows; the plan's own limit is checked for each request. */
const largestHeaderBytes = 262_144;
const checkIntervalMs = 1000;
const firstPlanRetryAfterSeconds = 0.5;

const badRequestStatuses: ReadonlyMap<string | undefined, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/**
 * Starts the server.
 *
 * @param options - Address and parts.
 * @returns The server, once it listens; rejects where the address can't be listened on.
 */
export const startCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
	const {address, clock, headers, plan, forward, isLeaving, onAnswered, log} = options;
	const connections = createCallerConnections();
	const chooseService = createServiceSplit();
	const notForwarded = new Set([headers.deadline, headers.expectedEndpoint, 'content-length']);
	const notReturned = new Set([headers.load, 'content-length']);
	let table: RouteTable | undefined;

	const tableOf = (current: TrafficPlan): RouteTable => {
		if (table?.plan !== current) {
			table = createRouteTable(current);
			server.keepAliveTimeout = current.limits.idleTimeoutMs;
			server.headersTimeout = Math.max(current.limits.headerTimeoutMs, checkIntervalMs);
		}

		return table;
	};

	const refused = (status: number, problem: string, more: Partial<OwnAnswer> = {}): ForwardResult => ({kind: 'own', answer: {status, problem, ...more}});

	const answer = async (request: IncomingMessage, arrivedAtMs: number, open: OpenRequest): Promise<ForwardResult & {readonly route?: string}> => {
		const current = plan();
		if (current === undefined) {
			return refused(503, 'no traffic plan is in force yet; the request did not run', {retryAfterSeconds: firstPlanRetryAfterSeconds});
		}

		const route = tableOf(current).routeOf(request.headers.host ?? '', request.url ?? '/');
		if (route === undefined) {
			request.resume();
			return refused(404, `no route matches host "${request.headers.host ?? ''}" and path "${request.url ?? ''}"`);
		}

		if (headerBytes(request.rawHeaders) > current.limits.maximumHeaderBytes) {
			return refused(431, `the header block is over ${current.limits.maximumHeaderBytes} bytes`, {closesConnection: true});
		}

		const reading = await readWholeBody(request, current.limits);
		if (reading.kind !== 'whole') {
			return reading.kind === 'gone' ? {kind: 'gone'} : refused(413, `the body is over ${current.limits.maximumBodyBytes} bytes`, {closesConnection: true});
		}

		const {body} = reading;
		const forwardedHeaders = endToEndHeaders(request.rawHeaders, notForwarded);
		if (body.length > 0 || request.headers['content-length'] !== undefined) {
			forwardedHeaders.push('Content-Length', String(body.length));
		}

		const requestId = request.headers[headers.requestId];
		const result = await forward({
			route,
			service: chooseService(route),
			affinityKey: affinityKeyOf(request.headers.cookie, headers.affinityCookie),
			request: {
				method: request.method ?? 'GET', path: request.url ?? '/', headers: forwardedHeaders, body, requestId: typeof requestId === 'string' ? requestId : undefined,
			},
			arrivedAtMs,
			callerDeadlineMs: callerDeadlineMs(request, headers),
			callerGone: open.callerGone,
		});
		return {...result, route: route.name};
	};

	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const arrivedAtMs = clock();
		const open = connections.begin(request.socket);
		if (open === undefined) {
			// It crossed the close on its way: its caller sees that it was not read, and sends it elsewhere.
			log(gatewayEvents.requestNotRead, {request: String(request.headers[headers.requestId])});
			request.socket.destroy();
			return;
		}

		response.on('error', () => undefined);
		request.on('error', () => undefined);
		const result = await answer(request, arrivedAtMs, open);
		const isUnread = result.kind === 'own' && result.answer.closesConnection === true;
		const hasNoLength = result.kind === 'endpoint' && result.answer.endsWithConnection;
		if (isUnread || (open.isAlone() && (isLeaving() || hasNoLength))) {
			open.closeAfterAnswer();
			response.shouldKeepAlive = false;
		}

		if (hasNoLength && !open.isAlone()) {
			// Closing the connection would take the answers of the other requests along.
			sendOwnAnswer(response, {status: 502, problem: 'the endpoint\'s answer has no length; the request may have run'});
		} else if (result.kind === 'endpoint') {
			sendEndpointAnswer(response, result.answer, notReturned);
		} else if (result.kind === 'own') {
			sendOwnAnswer(response, result.answer);
		}

		open.end();
		onAnswered(result.route ?? 'none', clock() - arrivedAtMs, result.kind === 'gone' ? 'gone' : String(result.answer.status));
	};

	const server: Server = createServer({
		maxHeaderSize: largestHeaderBytes, noDelay: true, connectionsCheckingInterval: checkIntervalMs,
	}, (request, response) => {
		void serve(request, response);
	});
	server.on('connection', (socket: Socket) => {
		connections.add(socket);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		log(entryEvents.malformedRequest, {code: error.code, detail: error.message});
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const status = badRequestStatuses.get(error.code) ?? 400;
		socket.end(`HTTP/1.1 ${status} Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
	});
	server.listen(address.port, address.host);
	await once(server, 'listening');

	return {
		openRequests: connections.openRequests,
		stopListening() {
			server.close();
		},
		closeIdle: connections.closeIdle,
	};
};
