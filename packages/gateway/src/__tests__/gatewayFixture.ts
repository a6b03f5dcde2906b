/**
 * Endpoints that answer byte for byte as a test says, and a caller's server in front of them.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request as sendRequest, type IncomingHttpHeaders} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {createDispatcher} from '@filbertwell/dispatch/dispatcher';
import {createRetryBudget, type RetryBudget} from '@filbertwell/dispatch/retryBudget';
import {silentLogger} from '@filbertwell/logger/logger';
import type {DiscoveredEndpoint} from '@filbertwell/types/discoveredEndpoint';
import type {PlannedRoute, TrafficPlan} from '@filbertwell/types/trafficPlan';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {startCallerServer, type CallerServer} from '../callerServer.js';
import {createEndpointClient} from '../endpointClient.js';
import {createEndpointConnections} from '../endpointConnections.js';
import {createForwardRequest} from '../forwardRequest.js';
import type {GatewayHeaders} from '../gatewayHeaders.js';

export const testHeaders: GatewayHeaders = {
	requestId: 'x-id',
	deadline: 'x-deadline-ms',
	expectedEndpoint: 'x-expect',
	notRun: 'x-not-run',
	stamp: 'x-stamp',
	load: 'x-load',
	affinityCookie: 'affinity',
	decodeLoad: () => undefined,
};

/** A request as an endpoint received it. */
export type ReceivedRequest = {
	readonly head: string;
	readonly body: string;
	/** Which request on its connection it is, from 1. */
	readonly number: number;
	readonly id: string;
};

/** Answers on the raw connection. */
export type RawAnswer = (socket: Socket, request: ReceivedRequest) => void;

/** An endpoint over raw TCP. */
export type RawEndpoint = {
	readonly endpoint: DiscoveredEndpoint;
	readonly received: ReceivedRequest[];
	readonly connections: () => number;
	/** Connections that the other side closed. */
	readonly closed: () => number;
	readonly close: () => void;
};

const headerOf = (head: string, name: string): string => new RegExp(`^${name}: (?<value>.*)$`, 'imu').exec(head)?.groups?.value?.trim() ?? '';

/** A whole answer with a stamp. */
export const wholeAnswer = (request: ReceivedRequest, body: string, {status = '200 OK', more = ''}: {readonly status?: string; readonly more?: string} = {}): string =>
	`HTTP/1.1 ${status}\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\n${more}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

export const startRawEndpoint = async (id: string, answer: RawAnswer, more: Partial<DiscoveredEndpoint> = {}): Promise<RawEndpoint> => {
	const received: ReceivedRequest[] = [];
	const open = new Set<Socket>();
	let connections = 0;
	let closed = 0;
	const server = createServer(socket => {
		connections += 1;
		open.add(socket);
		let text = '';
		let number = 0;
		socket.on('error', () => undefined);
		socket.on('close', () => {
			closed += 1;
			open.delete(socket);
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			for (;;) {
				const end = text.indexOf('\r\n\r\n');
				const head = text.slice(0, end);
				const bytes = Number(headerOf(head, 'content-length') || 0);
				if (end === -1 || text.length < end + 4 + bytes) {
					return;
				}

				number += 1;
				const request = {
					head, body: text.slice(end + 4, end + 4 + bytes), number, id: headerOf(head, 'x-id'),
				};
				text = text.slice(end + 4 + bytes);
				received.push(request);
				answer(socket, request);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		endpoint: {
			id, startedAtUnixMs: 1, sequence: 1, service: 'orders', host: '127.0.0.1', port, availabilityZone: 'south-a', slots: 4, state: 'ready', coldForMs: 0, ...more,
		},
		received,
		connections: () => connections,
		closed: () => closed,
		close() {
			server.close();
			for (const socket of open) {
				socket.destroy();
			}
		},
	};
};

export const testRoute: PlannedRoute = {
	name: 'all', host: 'shop.example', pathPrefix: '/', services: [{service: 'orders', weight: 1}], kind: 'idempotent', timeoutMs: 2000, latencyTargetMs: 1000, maximumAttempts: 3, priority: 0, isSticky: false, allowedRegions: [],
};

/** A caller's server with its endpoints. */
export type GatewayFixture = {
	readonly server: CallerServer;
	readonly port: number;
	/** Names of the events that the caller's server logged. */
	readonly logged: readonly string[];
	readonly close: () => void;
};

let nextPort = 0;

const freePort = async (): Promise<number> => {
	const probe = createServer();
	probe.listen(nextPort, '127.0.0.1');
	await once(probe, 'listening');
	const {port} = probe.address() as AddressInfo;
	const closed = once(probe, 'close');
	probe.close();
	await closed;
	nextPort = 0;
	return port;
};

export const startGatewayFixture = async (endpoints: readonly RawEndpoint[], {route = {}, repeats = 100, isLeaving = () => false, hasPlan = true}: {
	readonly route?: Partial<PlannedRoute>;
	/** Repeated sends that are allowed besides the ratio. */
	readonly repeats?: number;
	readonly isLeaving?: () => boolean;
	readonly hasPlan?: boolean;
} = {}): Promise<GatewayFixture> => {
	const plan: TrafficPlan = {
		version: 1,
		routes: [{...testRoute, ...route}],
		services: new Map(),
		limits: {
			maximumHeaderBytes: 8192, maximumBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
	const random = createRandom(5);
	const dispatcher = createDispatcher({
		clock,
		random,
		self: {id: 'instance-1', region: 'south', availabilityZone: 'south-a'},
		regionOfZone: () => new Map([['south-a', 'south'], ['north-a', 'north']]),
		instances: () => [{id: 'instance-1', region: 'south', requestsPerSecond: 1}],
		hasDiscoveredPeers: () => true,
		serviceOf: () => undefined,
		largestShift: () => 0.15,
	});
	dispatcher.configure(new Map(endpoints.map(({endpoint}) => [endpoint.id, {endpoint, firstSeenAtMs: 0, coldUntilMs: 0}])), new Set());
	const connections = createEndpointConnections(clock);
	const allowance: RetryBudget = createRetryBudget(clock, () => ({ratio: 0, extraRetries: repeats, windowMs: 10_000}), () => 1);
	const port = await freePort();
	const logged: string[] = [];
	const server = await startCallerServer({
		address: {host: '127.0.0.1', port},
		clock,
		headers: testHeaders,
		plan: () => hasPlan ? plan : undefined,
		forward: createForwardRequest({
			clock, random, dispatcher, client: createEndpointClient(connections, testHeaders), retryAllowance: () => allowance, log: silentLogger,
		}),
		isLeaving,
		onAnswered: () => undefined,
		log(event) {
			logged.push(event.name);
		},
	});
	return {
		server,
		port,
		logged,
		close() {
			server.stopListening();
			server.closeIdle();
			connections.close();
			for (const endpoint of endpoints) {
				endpoint.close();
			}
		},
	};
};

/** What a caller got; `status` 0 where the connection ended without a whole answer. */
export type CallerAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

let nextId = 0;

export const call = async (port: number, {method = 'GET', path = '/a', body = '', headers = {}}: {
	readonly method?: string;
	readonly path?: string;
	readonly body?: string;
	readonly headers?: Record<string, string>;
} = {}): Promise<CallerAnswer> => new Promise(resolve => {
	nextId += 1;
	const failed = () => {
		resolve({status: 0, headers: {}, body: ''});
	};

	const outgoing = sendRequest({
		host: '127.0.0.1', port, method, path, agent: false, headers: {
			host: 'shop.example', 'x-id': `id-${nextId}`, 'x-deadline-ms': '3000', ...(body === '' ? {} : {'content-length': String(body.length)}), ...headers,
		},
	});
	outgoing.once('response', message => {
		const chunks: string[] = [];
		message.setEncoding('latin1');
		message.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		message.once('error', failed);
		message.once('end', () => {
			resolve({status: message.statusCode ?? 0, headers: message.headers, body: chunks.join('')});
		});
	});
	outgoing.once('error', failed);
	outgoing.end(body);
});

/** Answers every request. */
export const whole: RawAnswer = (socket, request) => {
	socket.write(wholeAnswer(request, 'fine'));
};

/** Requests that reached some endpoints. */
export const sendsTo = (endpoints: readonly RawEndpoint[]) => endpoints.reduce((sum, {received}) => sum + received.length, 0);

const running: GatewayFixture[] = [];

/**
 * Starts a caller's server before endpoints that answer as given.
 *
 * @param answers - One for each endpoint.
 * @param options - Route and limits.
 * @returns The server and its endpoints; `closeGateways` closes them.
 */
export const startGateway = async (answers: readonly RawAnswer[], options?: Parameters<typeof startGatewayFixture>[1]): Promise<{readonly gateway: GatewayFixture; readonly endpoints: readonly RawEndpoint[]}> => {
	const endpoints = await Promise.all(answers.map(async (answer, index) => startRawEndpoint(`endpoint-${index}`, answer)));
	const gateway = await startGatewayFixture(endpoints, options);
	running.push(gateway);
	return {gateway, endpoints};
};

/** Closes what `startGateway` started. */
export const closeGateways = (): void => {
	for (const gateway of running.splice(0)) {
		gateway.close();
	}
};
