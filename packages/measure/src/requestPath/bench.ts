/**
 * Test bench of the request path: upstream stand-ins and entries on loopback in one process. An
 * entry of the bench consists of the caller server, router and upstream client of the product,
 * without look-ups, orders and steering.
 */
import {silentLogger} from '@filbertwell/logger/logger';
import {type CallerServer, createCallerServer, defaultCallerServerSettings} from '@filbertwell/entry/callerServer';
import {createUpstreamClient, type UpstreamClient} from '@filbertwell/entry/upstreamClient';
import type {Orders} from '@filbertwell/orders/orders';
import {createRouter, type Router} from '@filbertwell/routing/createRouter';
import type {SlotDivision} from '@filbertwell/routing/endpointChoice';
import {pollReports} from '@filbertwell/routing/reportPoller';
import type {ServiceTime} from '@filbertwell/standins/serviceTime';
import {createUpstreamLedger} from '@filbertwell/standins/upstreamLedger';
import {createUpstreamStandin, defaultUpstreamBehaviour, type UpstreamStandin} from '@filbertwell/standins/upstreamStandin';
import type {Configuration} from '@filbertwell/types/configuration';
import type {
	Endpoint, Intent, Route, Tenant,
} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {err} from 'neverthrow';
import {type BaselinePolicy, createBaselineRouter} from './baselineRouter.js';

/** How entries route: by a baseline router, or by the product's router with one way of dividing slots. */
export type RoutingPolicy = BaselinePolicy | SlotDivision;

/** Size, routing and service times of a bench. */
export type BenchOptions = {
	readonly seed: number;
	readonly policy: RoutingPolicy;
	readonly entries: number;
	readonly endpoints: number;
	readonly serviceTimeMs: ServiceTime;
	readonly routes: readonly Route[];
	readonly tenants?: readonly Tenant[];
	/** Maximum number of attempts of one request by a baseline router; 1 by default. */
	readonly baselineAttempts?: number;
	/** Maximum number of requests that wait for a slot of an endpoint; further requests are rejected as not run. */
	readonly queueLimit?: number;
};

/** A running bench. */
export type Bench = {
	readonly addresses: readonly SocketAddress[];
	readonly upstreams: readonly UpstreamStandin[];
	readonly routers: readonly Router[];
	/** Total number of slots of all endpoints. */
	readonly slots: number;
	/** Number of runs started at the upstreams, without rejected requests. */
	readonly runs: () => number;
	readonly stop: () => Promise<void>;
};

/** Name of the only service of a bench. */
export const benchService = 'inventory';

const regions = [
	{name: 'a', availabilityZones: ['a1', 'a2']},
	{name: 'b', availabilityZones: ['b1', 'b2']},
	{name: 'c', availabilityZones: ['c1', 'c2']},
];
const zones = ['a1', 'b1', 'c1', 'a2', 'b2', 'c2'];
const slotPattern = [4, 3, 4, 3];

/** Zone of the endpoint or entry with an index. */
const zoneOf = (index: number): string => zones[index % zones.length]!;

const regionOf = (zone: string): string => zone[0]!;

/** Implementation of orders that rejects each order as not run. */
export const disabledOrders: Orders = {
	submit: async () => ({kind: 'not-run', reason: 'the bench runs no orders'}),
	query: async () => ({state: 'absent', answer: undefined}),
	stop: async () => undefined,
};

const createBenchIntent = (endpoints: readonly Endpoint[], routes: readonly Route[], tenants: readonly Tenant[]): Intent => ({
	deployment: 'bench',
	regions,
	services: [{
		name: benchService, pathPrefix: `/${benchService}`, hosts: [], endpoints, routes, maximumBodyBytes: 1_000_000,
	}],
	regionShares: [],
	linkCaps: [],
	shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
	drains: [],
	shifts: [],
	sites: [],
	sitePreferences: [],
	clientBlocks: [],
	lookups: {lifetimeSeconds: 10, addresses: 2, defaultPreference: ''},
	tenants,
});

/**
 * Creates the configuration of a bench.
 *
 * @param endpoints - Endpoints of its only service.
 * @param routes - Routes of the service.
 * @param tenants - Weights of tenants.
 * @returns The configuration.
 */
export const createBenchConfiguration = (endpoints: readonly Endpoint[], routes: readonly Route[], tenants: readonly Tenant[]): Configuration => ({
	version: 1,
	changeId: 'bench',
	author: 'bench',
	acceptedAt: '2026-01-01T00:00:00Z',
	intent: createBenchIntent(endpoints, routes, tenants),
});

type Entry = {
	readonly server: CallerServer;
	readonly router: Router;
	readonly stop: () => Promise<void>;
};

const createEntryIdentity = (index: number) => {
	const availabilityZone = zoneOf(index);
	return {id: `e${index}`, region: regionOf(availabilityZone), availabilityZone};
};

const createBenchRouter = ({policy, seed, entries, baselineAttempts = 1}: BenchOptions, index: number, upstreams: UpstreamClient): Router => {
	if (policy === 'roundRobin' || policy === 'leastInFlight') {
		return createBaselineRouter({
			clock: monotonicClock, policy, attempts: baselineAttempts, random: createRandom((seed * 100) + index),
		});
	}

	const router = createRouter({
		clock: monotonicClock,
		random: createRandom((seed * 100) + index),
		log: silentLogger,
		metrics: {increment: () => undefined},
		self: createEntryIdentity(index),
		fetchReport: upstreams.fetchReport,
		slotDivision: policy,
	});
	router.setEntries(Array.from({length: entries}, (_, other) => createEntryIdentity(other)));
	return router;
};

const startEntry = async (options: BenchOptions, configuration: Configuration, index: number): Promise<Entry> => {
	const upstreams = createUpstreamClient();
	const router = createBenchRouter(options, index, upstreams);
	const pollController = new AbortController();
	router.configure(configuration);
	const server = await createCallerServer({
		settings: {...defaultCallerServerSettings, host: '127.0.0.1', port: 0},
		clock: monotonicClock,
		router,
		upstreams,
		orders: disabledOrders,
		lookup: () => err({kind: 'noEntry', message: 'no look-ups here'}),
		currentConfiguration: () => configuration,
		isServing: () => true,
		log: silentLogger,
		metrics: {increment: () => undefined, recordLatency: () => undefined},
	});
	const polling = pollReports({
		clock: monotonicClock, random: createRandom(index), router, fetchReport: upstreams.fetchReport, signal: pollController.signal,
	});
	return {
		server,
		router,
		async stop() {
			pollController.abort();
			await polling;
			upstreams.close();
			await server.close();
		},
	};
};

/**
 * Starts the upstreams and entries of a bench.
 *
 * @param options - Sizes, service times, routes and policy.
 * @returns The running bench.
 */
export const startBench = async (options: BenchOptions): Promise<Bench> => {
	const ledger = createUpstreamLedger(monotonicClock);
	const upstreams = await Promise.all(Array.from({length: options.endpoints}, async (_, index) => createUpstreamStandin({
		endpoint: {
			id: `u${index}`, host: '127.0.0.1', port: 0, availabilityZone: zoneOf(index), slots: slotPattern[index % slotPattern.length]!,
		},
		behaviour: {...defaultUpstreamBehaviour, serviceTimeMs: options.serviceTimeMs, queueLimit: options.queueLimit ?? defaultUpstreamBehaviour.queueLimit},
		clock: monotonicClock,
		random: createRandom((options.seed * 1000) + index),
		ledger,
	})));
	const configuration = createBenchConfiguration(upstreams.map(({endpoint}) => endpoint), options.routes, options.tenants ?? []);
	const entries = await Promise.all(Array.from({length: options.entries}, async (_, index) => startEntry(options, configuration, index)));
	return {
		addresses: entries.map(({server}) => server.address),
		upstreams,
		routers: entries.map(({router}) => router),
		slots: upstreams.reduce((total, {endpoint}) => total + endpoint.slots, 0),
		runs: () => ledger.report().counts.started,
		async stop() {
			await Promise.all(entries.map(async entry => entry.stop()));
			await Promise.all(upstreams.map(async upstream => upstream.stop()));
		},
	};
};
