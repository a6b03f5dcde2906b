/**
 * The running gateway: membership, followed state, dispatcher and servers.
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
import {createRandom} from '@filbertwell/utils/random';
import {startCallerServer} from './callerServer.js';
import {createEndpointClient} from './endpointClient.js';
import {createEndpointConnections} from './endpointConnections.js';
import {createForwardRequest} from './forwardRequest.js';
import type {GatewayAdapter} from './gatewayAdapter.js';
import {createNearbyInstances} from './nearbyInstances.js';
import {jsonAnswer, startSmallServer} from './smallServers.js';
import {followTraffic} from './trafficState.js';

/** A running gateway. */
export type GatewayRuntime = {
	/** Leaves look-ups, finishes requests in progress and closes. */
	readonly stop: () => Promise<void>;
};

/** Parameters of the gateway. */
export type GatewayOptions = {
	/** The settings in force. */
	readonly settings: () => GatewaySettings;
	readonly adapter: GatewayAdapter;
	readonly seed: number;
};

const maximumLabelSets = 200;
const stepIntervalMs = 250;
const loadIntervalMs = 500;
const idleCheckIntervalMs = 2000;
const noJitter = 0;
const rateWindowMs = 2000;
const millisecondsPerSecond = 1000;
/** Addresses in a look-up answer, at most; a few are enough to go elsewhere when some are lost. */
const largestLookup = 16;
/** How long callers use an answer: short, so that they leave an instance that stops. */
const lookupLifetimeMs = 2000;
/** Time after a stop was asked for in which new connections are still taken: callers' answers run out. */
const listenAfterStopMs = 2500;
/** Time before the end of the grace time at which the process ends in any case. */
const graceMarginMs = 250;
const stopCheckMs = 50;
/** Peers are listed in the store; gossip brings the rest. */
const listIntervalMs = 5000;
const heartbeatMs = 700;
const suspectMs = 2100;
const forgetMs = 10_000;
/** Time after the start in which peers may still be unknown: reading their list and a few rounds of heartbeats. */
const peersKnownAfterMs = 3000;

/**
 * Starts a gateway.
 *
 * @param options - Settings and platform.
 * @returns The running gateway; rejects where an address can't be listened on.
 */
export const startGatewayRuntime = async ({settings, adapter, seed}: GatewayOptions): Promise<GatewayRuntime> => {
	const log = createLogger('gateway');
	const random = createRandom(seed);
	const stopping = new AbortController();
	const {signal} = stopping;
	const metrics = createMetrics({maximumLabelSets});
	const {process: self, listen, peers} = settings();
	const bounds = () => deploymentBounds(settings());
	const rate = createSlidingWindowCounter(clock, rateWindowMs);
	let isLeaving = false;

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
		roundIntervalMs: heartbeatMs,
		suspectAfterMs: suspectMs,
		listIntervalMs,
		removeAfterMs: forgetMs,
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
	const knowsPeers = () => clock() - startedAtMs > peersKnownAfterMs;
	const aliveEntries = () => membership.members().filter(({health, state}) => health === 'alive' && state !== 'leaving');
	const dispatcher = createDispatcher({
		clock,
		self,
		regionOfZone: () => settings().process.zones,
		instances: () => aliveEntries().map(({id, region, load}) => ({id, region, requestsPerSecond: load.requestsPerSecond})),
		hasDiscoveredPeers: knowsPeers,
		serviceOf: name => state.plan()?.services.get(name),
		largestShift: () => bounds().largestShift,
		random,
	});
	const configure = () => {
		dispatcher.configure(state.endpoints(), state.evacuatedZones());
		const version = state.plan()?.version;
		if (version !== undefined && version !== membership.self().configurationVersion) {
			membership.announceConfiguration(version);
		}

		if (version !== undefined && membership.self().state === 'starting') {
			membership.announceState('serving');
		}
	};

	const state = followTraffic({
		adapter, membership, channel, clock, random, signal, onChange: configure,
	});
	const connections = createEndpointConnections(clock);
	const allowances = new Map<string, RetryBudget>();
	const retryAllowance = (service: string): RetryBudget => {
		const allowance = allowances.get(service) ?? createRetryBudget(clock, () => {
			const {retryRatio, retryExtra, retryWindowMs} = bounds();
			return {ratio: retryRatio, extraRetries: retryExtra, windowMs: retryWindowMs};
		}, () => knowsPeers() ? membership.members().length : Number.POSITIVE_INFINITY);
		allowances.set(service, allowance);
		return allowance;
	};

	const forward = createForwardRequest({
		clock, random, dispatcher, client: createEndpointClient(connections, adapter.headers), retryAllowance, log,
	});
	const callers = await startCallerServer({
		address: listen.callers,
		clock,
		headers: adapter.headers,
		plan: state.plan,
		async forward(request) {
			rate.record();
			return forward(request);
		},
		isLeaving: () => isLeaving,
		onAnswered(route, milliseconds, outcome) {
			metrics.recordLatency({service: route, requestClass: 'all', tenant: 'all'}, milliseconds);
			metrics.increment('requests_total', {route, outcome});
		},
		log,
	});

	const nearbyInstances = createNearbyInstances({clock, maximum: largestLookup});
	const isReady = () => !isLeaving && state.plan() !== undefined;
	const notFound = {status: 404, contentType: 'text/plain', body: 'not found\n'};
	await startSmallServer(listen.ready, path => path === adapter.readyPath
		? {status: isReady() ? 200 : 503, contentType: 'text/plain', body: isReady() ? 'ready\n' : 'not ready\n'}
		: notFound);
	await startSmallServer(listen.lookups, (path, query) => {
		if (path !== adapter.lookupPath) {
			return notFound;
		}

		const addresses = nearbyInstances(membership.members(), adapter.decodePlace(query));
		const lifetimeMs = Math.min(lookupLifetimeMs, bounds().largestLookupLifetimeMs);
		return addresses.length === 0
			? jsonAnswer(503, {problem: 'no instance serves yet'})
			: jsonAnswer(200, adapter.encodeLookup(addresses, lifetimeMs / millisecondsPerSecond));
	});
	if (listen.metricsPort !== 0) {
		await startSmallServer({host: peers.host, port: listen.metricsPort}, async path => path === '/metrics'
			? {status: 200, contentType: 'text/plain', body: await metrics.exposition()}
			: notFound);
	}

	metrics.observeGauge('store_calls', 'Calls to the store since the start', adapter.storeCalls);
	metrics.observeGauge('requests_open', 'Requests of callers that are not yet answered', callers.openRequests);
	const everyInterval = (intervalMs: number, task: () => void) => {
		void runPeriodically({
			intervalMs, jitter: noJitter, random, signal, task,
		});
	};

	everyInterval(stepIntervalMs, () => {
		state.step();
		dispatcher.step();
	});
	everyInterval(loadIntervalMs, () => {
		membership.announceLoad({inFlight: callers.openRequests(), queued: 0, requestsPerSecond: rate.count() * millisecondsPerSecond / rateWindowMs});
	});
	everyInterval(idleCheckIntervalMs, connections.closeIdle);
	log(processEvents.started, {id: self.id, callers: `${listen.callers.host}:${listen.callers.port}`});

	const finishRequests = async () => {
		const startedAtMs = clock();
		await waitUnlessAborted(Math.min(listenAfterStopMs, bounds().graceMs / 2), signal);
		callers.stopListening();
		while (callers.openRequests() > 0 && clock() - startedAtMs < bounds().graceMs - graceMarginMs) {
			callers.closeIdle();
			await waitUnlessAborted(stopCheckMs, signal); // eslint-disable-line no-await-in-loop
		}

		callers.closeIdle();
	};

	return {
		async stop() {
			if (isLeaving) {
				return;
			}

			isLeaving = true;
			log(processEvents.stopping, {id: self.id});
			membership.announceState('leaving');
			registration.setState('leaving');
			await finishRequests();
			stopping.abort();
			connections.close();
			adapter.close();
			log(processEvents.stopped, {id: self.id, open: callers.openRequests()});
			// Peers and the store learned of the stop when it was asked for; nothing else must be kept.
			process.exit(0); // eslint-disable-line unicorn/no-process-exit -- kept connections would hold the process
		},
	};
};
