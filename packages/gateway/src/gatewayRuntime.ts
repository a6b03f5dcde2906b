/**
 * Starts a gateway: creates membership, traffic state, dispatcher and servers, and connects them.
 */
import process from 'node:process';
import {createDispatcher} from '@filbertwell/dispatch/dispatcher';
import {createRetryBudget, type RetryBudget} from '@filbertwell/dispatch/retryBudget';
import {createSlidingWindowCounter} from '@filbertwell/dispatch/slidingWindowCounter';
import {startRegistration} from '@filbertwell/entry/instanceRegistration';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import {createLogger} from '@filbertwell/logger/logger';
import {createMembership} from '@filbertwell/membership/createMembership';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import {createPeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import {deploymentBounds, processorCores, type GatewaySettings} from '@filbertwell/settings/gatewaySettings';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {runPeriodically, waitUnlessAborted} from '@filbertwell/utils/periodic';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {createRandom} from '@filbertwell/utils/random';
import {startCallerServer} from './callerServer.js';
import {createEndpointClient} from './endpointClient.js';
import {createEndpointConnectionPool} from './endpointConnectionPool.js';
import {createForwardRequest} from './forwardRequest.js';
import type {GatewayAdapter} from './gatewayAdapter.js';
import {createNearbyInstanceSelector} from './nearbyInstances.js';
import {jsonResponse, startAuxiliaryServer} from './auxiliaryServer.js';
import {createStopWindow} from './stopWindow.js';
import {followTraffic} from './trafficState.js';

/** Handle of a running gateway. */
export type GatewayRuntime = {
	/** Removes this instance from look-ups, completes the open requests, closes all connections and exits the process. */
	readonly stop: () => Promise<void>;
};

/** Settings and platform of a gateway. */
export type GatewayOptions = {
	/** Returns the settings in force. Zones and bounds are read on each use, all others once at the start. */
	readonly settings: () => GatewaySettings;
	readonly adapter: GatewayAdapter;
	/** Seed of the random numbers. */
	readonly seed: number;
};

const maximumLabelSets = 200;
const updateIntervalMs = 250;
const loadIntervalMs = 500;
const idleCloseIntervalMs = 2000;
const noJitter = 0;
const requestRateWindowMs = 2000;
const millisecondsPerSecond = 1000;
/** Maximum number of addresses in a look-up response; a few suffice for callers to fail over. */
const maximumLookupAddresses = 16;
/** How long callers may use a look-up response; short, so that they soon stop using an instance that shuts down. */
const lookupLifetimeMs = 2000;
const shutdownPollMs = 50;
/** Interval at which the list of instances is read from the store; between reads, gossip spreads changes. */
const listIntervalMs = 5000;
/** Added to the interval for each member beyond a small deployment; the calls of all instances together then stay below one a second. */
const listIntervalPerMemberMs = 1500;
/** Time until all instances that start together have registered. The first reading of the list then shows the size of the deployment. */
const bootstrapListDelayMs = 1000;
const heartbeatIntervalMs = 700;
const suspectAfterMs = 2100;
const removeAfterMs = 10_000;
/** Time after the start until the peers count as discovered: enough to read their list and exchange a few heartbeats. */
const peerDiscoveryMs = 3000;

/**
 * Starts a gateway.
 *
 * @param options - Settings and platform.
 * @returns The running gateway; rejects if it can't listen on one of its addresses.
 */
export const startGatewayRuntime = async ({settings, adapter, seed}: GatewayOptions): Promise<GatewayRuntime> => {
	const log = createLogger('gateway');
	const random = createRandom(seed);
	const stopping = new AbortController();
	const {signal} = stopping;
	const metrics = createMetrics({maximumLabelSets});
	const {process: self, listen, peers} = settings();
	const bounds = () => deploymentBounds(settings());
	const recentRequests = createSlidingWindowCounter(clock, requestRateWindowMs);
	const isFirstStart = settings().process.bootstrap === 'true';
	const stopWindow = createStopWindow(clock, () => bounds().graceMs);

	const channel = await createPeerChannel({address: peers, log: createLogger('peers')});
	const membership = createMembership({
		self: {
			id: self.id, role: 'entry', region: self.region, availabilityZone: self.availabilityZone, site: self.availabilityZone, capacity: processorCores(settings()), callerAddress: listen.callers,
		},
		seeds: peers.seeds,
		instances: adapter.instances,
		channel,
		clock,
		random,
		log: createLogger('membership'),
		roundIntervalMs: heartbeatIntervalMs,
		suspectAfterMs,
		listIntervalMs,
		listIntervalPerMemberMs,
		firstListDelayMs: isFirstStart ? bootstrapListDelayMs : 0,
		removeAfterMs,
		isPlatformReachable: () => trafficState.isPlatformReachable(),
	});
	const registration = startRegistration({
		instances: adapter.instances,
		instance: {
			id: self.id, kind: 'entry', host: peers.host, port: channel.address.port, availabilityZone: self.availabilityZone,
		},
		random,
		log,
	});

	const startedAtMs = clock();
	const hasDiscoveredPeers = () => clock() - startedAtMs > peerDiscoveryMs;
	const activeInstances = () => membership.members().filter(({health, state}) => health === 'alive' && state !== 'leaving');
	const dispatcher = createDispatcher({
		clock,
		self,
		regionOfZone: () => settings().process.zones,
		instances: () => activeInstances().map(({id, region, load}) => ({id, region, requestsPerSecond: load.requestsPerSecond})),
		hasDiscoveredPeers,
		serviceOf: name => trafficState.plan()?.services.get(name),
		largestShift: () => bounds().largestShift,
		random,
	});
	const applyTrafficState = () => {
		dispatcher.configure(trafficState.endpoints(), trafficState.evacuatedZones());
		const version = trafficState.plan()?.version;
		if (version !== undefined && version !== membership.self().configurationVersion) {
			membership.announceConfiguration(version);
		}

		if (version !== undefined && membership.self().state === 'starting') {
			membership.announceState('serving');
		}
	};

	const trafficState = followTraffic({
		adapter, membership, channel, clock, random, signal, bounds, regionOfZone: () => settings().process.zones, isFirstStart, onChange: applyTrafficState,
	});
	const connectionPool = createEndpointConnectionPool(clock);
	const retryBudgets = new Map<string, RetryBudget>();
	const retryBudgetOf = (service: string): RetryBudget => {
		const budget = retryBudgets.get(service) ?? createRetryBudget(clock, () => {
			const {retryRatio, retryExtra, retryWindowMs} = bounds();
			return {ratio: retryRatio, extraRetries: retryExtra, windowMs: retryWindowMs};
		}, () => hasDiscoveredPeers() ? membership.members().length : Number.POSITIVE_INFINITY);
		retryBudgets.set(service, budget);
		return budget;
	};

	const forward = createForwardRequest({
		clock, random, dispatcher, client: createEndpointClient(connectionPool, adapter.headers, afterNextPoll), retryBudgetOf, afterNextPoll, log,
	});
	const callerServer = await startCallerServer({
		address: listen.callers,
		clock,
		headers: adapter.headers,
		plan: trafficState.plan,
		planAgeMs: trafficState.planAgeMs,
		isPlanOutdated: trafficState.isPlanOutdated,
		async forward(request) {
			recentRequests.record();
			return forward(request);
		},
		isShuttingDown: stopWindow.hasBegun,
		takesRequest: stopWindow.takesRequest,
		onRequestEnded(route, milliseconds, outcome) {
			metrics.recordLatency({service: route, requestClass: 'all', tenant: 'all'}, milliseconds);
			metrics.increment('requests_total', {route, outcome});
		},
		log,
	});

	const selectInstances = createNearbyInstanceSelector({clock, maximum: maximumLookupAddresses});
	const isReady = () => !stopWindow.hasBegun() && trafficState.plan() !== undefined;
	const notFound = {status: 404, contentType: 'text/plain', body: 'not found\n'};
	await startAuxiliaryServer(listen.ready, path => path === adapter.readyPath
		? {status: isReady() ? 200 : 503, contentType: 'text/plain', body: isReady() ? 'ready\n' : 'not ready\n'}
		: notFound, log);
	await startAuxiliaryServer(listen.lookups, (path, query) => {
		if (path !== adapter.lookupPath) {
			return notFound;
		}

		const addresses = selectInstances(membership.members(), adapter.decodePlace(query));
		const lifetimeMs = Math.min(lookupLifetimeMs, bounds().largestLookupLifetimeMs);
		return addresses.length === 0
			? jsonResponse(503, {problem: 'no instance serves yet'})
			: jsonResponse(200, adapter.encodeLookup(addresses, lifetimeMs / millisecondsPerSecond));
	}, log);
	if (listen.metricsPort !== 0) {
		await startAuxiliaryServer({host: peers.host, port: listen.metricsPort}, async path => path === '/metrics'
			? {status: 200, contentType: 'text/plain', body: await metrics.exposition()}
			: notFound, log);
	}

	metrics.observeGauge('store_calls', 'Calls to the store since the start', adapter.storeCallCount);
	metrics.observeGauge('plan_version', 'Version of the traffic plan in force', () => trafficState.plan()?.version ?? 0);
	metrics.observeGauge('plan_age_seconds', 'Time since the traffic plan was last known to be current', () => trafficState.planAgeMs() / millisecondsPerSecond);
	metrics.observeGauge('registrations_age_seconds', 'Time since the registrations of the endpoints were last known to be current', () => trafficState.registrationsAgeMs() / millisecondsPerSecond);
	metrics.observeGauge('peer_datagram_bytes', 'Bytes of heartbeats in both directions since the start, with headers', () => channel.traffic().datagramBytesIn + channel.traffic().datagramBytesOut);
	metrics.observeGauge('peer_rpc_bytes', 'Bytes of calls between peers in both directions since the start', () => channel.traffic().rpcBytesIn + channel.traffic().rpcBytesOut);
	metrics.observeGauge('requests_open', 'Requests of callers that are not yet answered', callerServer.openRequestCount);
	const everyInterval = (intervalMs: number, task: () => void) => {
		void runPeriodically({
			intervalMs, jitter: noJitter, random, signal, task,
		});
	};

	everyInterval(updateIntervalMs, () => {
		trafficState.removeExpired();
		dispatcher.updateRegionShares();
	});
	everyInterval(loadIntervalMs, () => {
		membership.announceLoad({inFlight: callerServer.openRequestCount(), queued: 0, requestsPerSecond: recentRequests.count() * millisecondsPerSecond / requestRateWindowMs});
	});
	everyInterval(idleCloseIntervalMs, connectionPool.closeIdle);
	log(processEvents.started, {id: self.id, callers: `${listen.callers.host}:${listen.callers.port}`});

	const drainRequests = async () => {
		await waitUnlessAborted(stopWindow.acceptanceMs(), signal);
		await callerServer.stopListening();
		while ((callerServer.openRequestCount() > 0 || callerServer.isRequestExpected()) && stopWindow.remainingMs() > 0) {
			callerServer.closeIdle();
			await waitUnlessAborted(shutdownPollMs, signal); // eslint-disable-line no-await-in-loop
		}

		callerServer.closeIdle();
	};

	return {
		async stop() {
			if (stopWindow.hasBegun()) {
				return;
			}

			stopWindow.begin();
			log(processEvents.stopping, {id: self.id});
			membership.announceState('leaving');
			registration.setState('leaving');
			await drainRequests();
			stopping.abort();
			connectionPool.close();
			adapter.close();
			log(processEvents.stopped, {id: self.id, open: callerServer.openRequestCount()});
			// Peers and the store were notified when the stop began, so nothing is left to save.
			process.exit(0); // eslint-disable-line unicorn/no-process-exit -- idle connections would keep the process running
		},
	};
};
