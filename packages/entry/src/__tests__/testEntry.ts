/**
 * Starts an entry's request path on loopback for tests: the real caller server, router and upstream
 * client, with test upstreams and an in-memory store of at-most-once requests.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {silentLogger} from '@filbertwell/logger/logger';
import type {Orders} from '@filbertwell/orders/orders';
import {createRouter} from '@filbertwell/routing/createRouter';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Endpoint, Route, Service} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {err, ok} from 'neverthrow';
import {type CallerServerSettings, createCallerServer, defaultCallerServerSettings} from '../callerServer.js';
import {createUpstreamClient} from '../upstreamClient.js';

export const route = (changes: Partial<Route> = {}): Route => ({
	name: 'read',
	methods: [],
	pathPrefix: '/',
	requestClass: 'interactive',
	kind: 'idempotent',
	deadlineMs: 5000,
	hedge: false,
	claimOutage: 'refuse',
	...changes,
});

export const orderRoute = route({
	name: 'order', methods: ['POST'], pathPrefix: '/order', kind: 'atMostOnce', requestClass: 'critical',
});

export const configurationWith = (services: readonly Service[]): Configuration => ({
	version: 1,
	changeId: 'c1',
	author: 'test',
	acceptedAt: '2026-01-01T00:00:00Z',
	intent: {
		deployment: 'test',
		regions: [{name: 'north', availabilityZones: ['n1', 'n2']}, {name: 'south', availabilityZones: ['s1', 's2']}],
		services,
		regionShares: [],
		linkCaps: [],
		shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
		drains: [],
		shifts: [],
		sites: [],
		sitePreferences: [],
		clientBlocks: [],
		lookups: {lifetimeSeconds: 5, addresses: 2, defaultPreference: ''},
		tenants: [],
	},
});

export const serviceWith = (endpoints: readonly Endpoint[], changes: Partial<Service> = {}): Service => ({
	name: 'inventory',
	pathPrefix: '/inventory',
	hosts: ['inventory.test'],
	endpoints,
	routes: [orderRoute, route()],
	maximumBodyBytes: 1_000_000,
	...changes,
});

/** Dispatches each key once and stores the outcome in memory, unless the request did not run. */
export const createMemoryOrders = (): Orders => {
	const outcomesByKey = new Map<string, Awaited<ReturnType<Orders['submit']>>>();
	return {
		async submit(order) {
			const storedOutcome = outcomesByKey.get(order.key);
			if (storedOutcome !== undefined) {
				return storedOutcome.kind === 'answered' ? {kind: 'replayed', answer: storedOutcome.answer} : storedOutcome;
			}

			const outcome = await order.dispatch();
			if (outcome.kind !== 'not-run') {
				outcomesByKey.set(order.key, outcome);
			}

			return outcome;
		},
		async query(_service, _tenant, key) {
			const storedOutcome = outcomesByKey.get(key);
			return {state: storedOutcome === undefined ? 'absent' : 'done', answer: storedOutcome?.kind === 'answered' ? storedOutcome.answer : undefined};
		},
		async stop() {
			outcomesByKey.clear();
		},
	};
};

type CleanupTask = () => Promise<void> | void;

/** Collects cleanup tasks and runs them in reverse order. */
export const createCleanup = () => {
	const tasks: CleanupTask[] = [];
	return {
		add(task: CleanupTask) {
			tasks.push(task);
		},
		async run() {
			for (const task of tasks.splice(0).toReversed()) {
				await task(); // eslint-disable-line no-await-in-loop
			}
		},
	};
};

export type Cleanup = ReturnType<typeof createCleanup>;

let endpointNumber = 0;

const endpointAt = (port: number, changes: Partial<Endpoint>): Endpoint => {
	endpointNumber += 1;
	return {
		id: `u${endpointNumber}`, host: '127.0.0.1', port, availabilityZone: 'n1', slots: 4, ...changes,
	};
};

/** Starts an HTTP upstream. */
export const startUpstream = async (cleanup: Cleanup, listener: http.RequestListener, changes: Partial<Endpoint> = {}): Promise<Endpoint> => {
	const server = http.createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	cleanup.add(async () => {
		server.closeAllConnections();
		server.close();
	});
	return endpointAt((server.address() as AddressInfo).port, changes);
};

/** Starts a TCP server as an upstream; the test writes the raw bytes of its responses. */
export const startRawUpstream = async (cleanup: Cleanup, onConnection: (socket: net.Socket) => void, changes: Partial<Endpoint> = {}): Promise<Endpoint> => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		onConnection(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	cleanup.add(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return endpointAt((server.address() as AddressInfo).port, changes);
};

/** Returns an endpoint whose port was just closed, so that connections to it are refused. */
export const closedEndpoint = async (changes: Partial<Endpoint> = {}): Promise<Endpoint> => {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return endpointAt(port, changes);
};

/** Starts an entry's request path. */
export const startEntry = async (cleanup: Cleanup, services: readonly Service[], settings: Partial<CallerServerSettings> = {}, orders: Orders = createMemoryOrders()) => {
	const configuration = configurationWith(services);
	const upstreams = createUpstreamClient();
	const metrics = {increment: () => undefined, recordLatency: () => undefined};
	const router = createRouter({
		clock: monotonicClock,
		random: createRandom(1),
		log: silentLogger,
		metrics,
		self: {id: 'e1', region: 'north', availabilityZone: 'n1'},
	});
	router.configure(configuration);
	let isServing = true;
	const server = await createCallerServer({
		settings: {
			...defaultCallerServerSettings, host: '127.0.0.1', port: 0, ...settings,
		},
		clock: monotonicClock,
		router,
		upstreams,
		orders,
		lookup: service => service === 'inventory'
			? ok({
				service, block: undefined, addresses: [], lifetimeSeconds: 5, configurationVersion: 1,
			})
			: err(service === 'lonely' ? {kind: 'noEntry', message: 'no entry serves'} : {kind: 'unknownService', message: `service "${service}" is not configured`}),
		currentConfiguration: () => configuration,
		isServing: () => isServing,
		log: silentLogger,
		metrics,
	});
	cleanup.add(async () => {
		upstreams.close();
		await server.close();
	});
	return {
		router,
		server,
		port: server.address.port,
		stopServing() {
			isServing = false;
		},
	};
};

export type Answer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly trailers: NodeJS.Dict<string>;
	readonly body: string;
	/** Whether the response arrived completely. */
	readonly isWhole: boolean;
};

/** Sends a request, by default on a new connection, and reads the response to its end. */
export const call = async (port: number, options: http.RequestOptions & {readonly body?: string | Uint8Array} = {}): Promise<Answer> => new Promise((resolve, reject) => {
	const {body, ...rest} = options;
	const request = http.request({
		host: '127.0.0.1', port, path: '/inventory/item', agent: false, ...rest,
	});
	request.once('error', reject);
	request.once('response', message => {
		const chunks: Uint8Array[] = [];
		message.on('data', (chunk: Uint8Array) => chunks.push(chunk));
		message.on('error', () => undefined);
		message.once('close', () => {
			resolve({
				status: message.statusCode ?? 0, headers: message.headers, trailers: message.trailers, body: Buffer.concat(chunks).toString('utf8'), isWhole: message.complete,
			});
		});
	});
	request.end(body);
});

/** Writes raw bytes to the entry and returns everything it sends until it closes the connection. */
export const callRaw = async (port: number, text: string): Promise<string> => new Promise(resolve => {
	const socket = net.connect(port, '127.0.0.1');
	let received = '';
	socket.setEncoding('utf8');
	socket.on('data', (chunk: string) => {
		received += chunk;
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(received);
	});
	socket.write(text);
});
