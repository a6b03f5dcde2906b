/**
 * Assembles and runs an entry: control plane, steering, routing, at-most-once requests, and the
 * servers for callers and operators.
 */
import {createLogger} from '@filbertwell/logger/logger';
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import {createOrders} from '@filbertwell/orders/createOrders';
import {createRouter} from '@filbertwell/routing/createRouter';
import {pollReports} from '@filbertwell/routing/reportPoller';
import type {EntrySettings} from '@filbertwell/settings/entrySettings';
import type {Member} from '@filbertwell/types/member';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {runPeriodically, waitUnlessAborted} from '@filbertwell/utils/periodic';
import {createRandom} from '@filbertwell/utils/random';
import {createAdminServer, type Readiness} from './adminServer.js';
import {createCallerServer, type CallerServer} from './callerServer.js';
import {startControlPlane} from './controlPlane.js';
import {describeControlState} from './controlState.js';
import {explainRequest} from './explainRequest.js';
import {waitForFirstConfiguration} from './firstConfiguration.js';
import {startRegistration} from './instanceRegistration.js';
import {runOrderRetention} from './orderRetention.js';
import {createRequestRate} from './requestRate.js';
import {createSteeringDriver} from './steeringDriver.js';
import {createUpstreamClient} from './upstreamClient.js';

/** A running entry. */
export type EntryRuntime = {
	/**
	 * Removes the entry from look-ups, waits until look-ups cached by callers have expired, waits
	 * for requests in progress up to the grace period, and closes.
	 */
	readonly stop: () => Promise<void>;
};

const steeringIntervalMs = 250;
const loadReportIntervalMs = 1000;
const millisecondsPerSecond = 1000;
const noJitter = 0;

const isServingEntry = (member: Member): boolean => member.role === 'entry' && member.state === 'serving';

/**
 * Starts an entry. It serves once a configuration is in force.
 *
 * @param settings - Checked settings.
 * @param seed - Seed of its random numbers.
 * @param stopRequested - Aborted when the process is asked to stop; ends the wait for the first configuration.
 * @returns The running entry; rejects if it can't listen on an address.
 */
export const startEntryRuntime = async (settings: EntrySettings, seed: number, stopRequested: AbortSignal): Promise<EntryRuntime> => {
	const log = createLogger('entry');
	const random = createRandom(seed);
	const stopping = new AbortController();
	const {signal} = stopping;
	const metrics = createMetrics({maximumLabelSets: settings.limits.maximumLabelSets});
	const {id, region, availabilityZone} = settings.process;
	const requestRate = createRequestRate();
	let isServing = false;
	let isLeaving = false;
	/** Whether a newer process uses the same id; this process then leaves the listed instance to it. */
	let isSuperseded = false;
	let callerServer: CallerServer | undefined;

	const control = await startControlPlane({
		settings, role: 'entry', callerAddress: settings.callers, clock, random, metrics,
	});
	const {platform, channel, membership, follower, lookup} = control;
	const registration = startRegistration({
		instances: platform.instances,
		instance: {
			id, kind: 'entry', host: settings.peers.host, port: channel.address.port, availabilityZone,
		},
		random,
		log,
	});
	const orders = createOrders({
		table: platform.table,
		objects: platform.objects,
		clock,
		random,
		log: createLogger('orders'),
		entryId: id,
		incarnation: membership.self().incarnation,
	});
	const upstreams = createUpstreamClient(settings.limits.maximumUpstreamConnections);
	const steeringDriver = createSteeringDriver({
		region, clock, control, signal,
	});
	const router = createRouter({
		clock,
		random,
		log: createLogger('routing'),
		metrics,
		self: {id, region, availabilityZone},
		chooseZone: (service, requestClass) => steeringDriver.steering().chooseZone(service, requestClass),
		fetchReport: upstreams.fetchReport,
		maximumQueued: settings.limits.maximumQueued,
	});

	const readiness = (): Readiness => {
		if (isLeaving) {
			return {ready: false, reason: 'the process is stopping'};
		}

		return isServing ? {ready: true, reason: 'serving'} : {ready: false, reason: 'no configuration is in force yet'};
	};

	const admin = await createAdminServer({
		address: settings.admin,
		readiness,
		state() {
			const state = {...describeControlState(control), shifts: steeringDriver.steering().progress(), services: router.state()};
			return state;
		},
		exposition: async () => metrics.exposition(),
		explain: query => explainRequest({
			entry: id, configuration: () => follower.current(), lookup, steering: steeringDriver.steering(), routerState: () => router.state(),
		}, query),
		acceptOffer: ({head, parts}) => follower.offer(head, parts),
	});

	metrics.observeGauge('requests_in_flight', 'Requests at upstreams', () => router.load().inFlight);
	metrics.observeGauge('requests_queued', 'Requests that wait for a slot', () => router.load().queued);
	metrics.observeGauge('configuration_version', 'Version of the configuration in force', () => follower.current()?.version ?? 0);
	metrics.observeGauge('members', 'Members that are not known to be gone', () => membership.members().length);

	const updateRouterEntries = () => {
		router.setEntries(membership.members().filter(member => isServingEntry(member)));
	};

	const subscribeToMembership = () => {
		membership.changes.subscribe(updateRouterEntries);
		membership.listed.subscribe(instances => {
			router.setLeaving(instances.filter(instance => instance.kind === 'upstream' && instance.state === 'leaving').map(instance => instance.id));
		});
	};

	const reportLoad = () => {
		requestRate.endPeriod(loadReportIntervalMs);
		membership.announceLoad({...router.load(), requestsPerSecond: requestRate.perSecond()});
		steeringDriver.steering().observe(router.conditions());
	};

	const startPeriodicWork = () => {
		const startPeriodicTask = (intervalMs: number, task: () => void | Promise<void>) => {
			void runPeriodically({
				intervalMs, jitter: noJitter, random, signal, task,
			});
		};

		startPeriodicTask(steeringIntervalMs, steeringDriver.step);
		startPeriodicTask(loadReportIntervalMs, reportLoad);
		void pollReports({
			clock, random, router, fetchReport: upstreams.fetchReport, signal,
		});
		void runOrderRetention({
			platform, holder: id, isCandidate: control.isPoller, clock, random, signal,
		});
	};

	const startCallerServer = async (): Promise<CallerServer> => createCallerServer({
		settings: {
			...settings.callers,
			maximumConnections: settings.limits.maximumConnections,
			maximumHeaderBytes: settings.limits.maximumHeaderBytes,
			headersTimeoutMs: settings.limits.headerTimeoutMs,
			requestTimeoutMs: settings.limits.requestTimeoutMs,
			keepAliveTimeoutMs: settings.limits.idleTimeoutMs,
		},
		clock,
		router: {
			...router,
			async route(request, send) {
				requestRate.count();
				return router.route(request, send);
			},
		},
		upstreams,
		orders,
		lookup: lookup.answer,
		currentConfiguration: () => follower.current(),
		isServing: () => isServing && !isLeaving,
		log,
		metrics,
	});

	const serve = async () => {
		await steeringDriver.start();
		follower.inForce.subscribe(configuration => {
			router.configure(configuration);
		});
		updateRouterEntries();
		startPeriodicWork();
		callerServer = await startCallerServer();
		isServing = true;
		membership.announceState('serving');
		log(processEvents.started, {
			id, callers: `${callerServer.address.host}:${callerServer.address.port}`, admin: `${admin.address.host}:${admin.address.port}`, version: follower.current()?.version,
		});
	};

	const finishRequests = async () => {
		if (callerServer === undefined) {
			return;
		}

		const timeLimit = new AbortController();
		await Promise.race([callerServer.close(), waitUnlessAborted(settings.stop.graceMs, timeLimit.signal)]);
		timeLimit.abort();
		if (callerServer.inProgress() > 0) {
			log(entryEvents.requestsCutOff, {requests: callerServer.inProgress(), graceMs: settings.stop.graceMs});
		}
	};

	const endRegistration = async () => {
		if (isSuperseded) {
			registration.abandon();
		} else {
			await registration.remove();
		}
	};

	const stop = async (): Promise<void> => {
		if (isLeaving) {
			return;
		}

		isLeaving = true;
		log(processEvents.stopping, {id});
		membership.announceState('leaving');
		if (!isSuperseded) {
			registration.setState('leaving');
		}

		if (isServing) {
			const lifetimeMs = (follower.current()?.intent.lookups.lifetimeSeconds ?? 0) * millisecondsPerSecond;
			await waitUnlessAborted(lifetimeMs + settings.stop.drainMarginMs, signal);
		}

		await finishRequests();
		stopping.abort();
		await orders.stop();
		await endRegistration();
		await control.stop();
		upstreams.close();
		await admin.close();
		log(processEvents.stopped, {id});
	};

	membership.superseded.subscribe(() => {
		isSuperseded = true;
		void stop();
	});
	subscribeToMembership();
	if (await waitForFirstConfiguration(follower, stopRequested) !== undefined) {
		await serve();
	}

	return {stop};
};
