/**
 * Router of an entry: one router for each service, the link caps that they share, and the data for
 * steering, heartbeats and the admin page.
 */
import type {Logger} from '@filbertwell/logger/logger';
import {routingEvents} from '@filbertwell/logger/events/routingEvents';
import type {Metrics} from '@filbertwell/metrics/metrics';
import type {Configuration} from '@filbertwell/types/configuration';
import {type RequestClass, requestClasses} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {ZoneChoice} from '@filbertwell/types/zoneChoice';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import type {Send} from './attempt.js';
import {drainedEndpoints, drainingZones} from './drainedEndpoints.js';
import type {SlotDivision} from './endpointChoice.js';
import type {EndpointTracker} from './endpointTracker.js';
import {createLinkCaps} from './linkCap.js';
import type {LocalEntry} from './localityOrder.js';
import type {FetchReport} from './slotSearch.js';
import type {RoutedRequest, RouteOutcome} from './routedRequest.js';
import {type Schedule, scheduleTimeout} from './scheduler.js';
import {type ServiceRouter, createServiceRouter} from './serviceRouter.js';
import type {EntryLocation} from './slotOwnership.js';
import {type ZoneCondition, conditionsOf} from './zoneConditions.js';
import {type ServiceState, serviceState} from './routerState.js';

/** Dependencies and settings of a router. */
export type RouterOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Pick<Metrics, 'increment'>;
	/** Id and location of this entry. */
	readonly self: LocalEntry;
	/** Availability zone that steering chooses for the next request of a class; by default, the locality order decides. */
	readonly chooseZone?: (service: string, requestClass: RequestClass) => ZoneChoice;
	/** Requests the load report of an endpoint; without it, reports come only with answers and from `observeReport`. */
	readonly fetchReport?: FetchReport;
	/** Maximum number of requests of one service that wait for a slot; 512 by default. */
	readonly maximumQueued?: number;
	/** Timer function; `setTimeout` by default. */
	readonly schedule?: Schedule;
	/** How slots are divided between entries; `borrowed` by default. */
	readonly slotDivision?: SlotDivision;
};

/** Routes requests to the endpoints of their services. */
export type Router = {
	/** Applies a configuration in place of the previous one. */
	readonly configure: (configuration: Configuration) => void;
	/** Sets the entries that share the endpoints; this entry is added when it is missing. */
	readonly setEntries: (entries: readonly EntryLocation[]) => void;
	/** Routes a request; resolves when its outcome is decided. The body of an answer may still be in transit. */
	readonly route: <Answer>(request: RoutedRequest, send: Send<Answer>) => Promise<RouteOutcome<Answer>>;
	/** Records a load report that was fetched separately from an answer, at a time on the router's clock. */
	readonly observeReport: (endpointId: string, report: LoadReport, atMs: number) => void;
	/** Sets the endpoints that the instance list shows as leaving, in place of the previous ones. */
	readonly setLeaving: (endpointIds: Iterable<string>) => void;
	/** Endpoints whose latest load report is older than `ageMs`. */
	readonly quietEndpoints: (ageMs: number) => ReadonlyArray<EndpointTracker['endpoint']>;
	/** Conditions of the availability zones of each service, for steering. */
	readonly conditions: () => readonly ZoneCondition[];
	/** Numbers of attempts in flight and of waiting requests, for heartbeats. */
	readonly load: () => {readonly inFlight: number; readonly queued: number};
	/** State of each service, for the admin page. */
	readonly state: () => readonly ServiceState[];
};

/** Weight of a tenant that is not configured. */
const defaultWeight = 1;

const chooseAnyZone = (): ZoneChoice => ({kind: 'anywhere'});

/**
 * Creates the router of an entry. Before `configure` it refuses every request as not run.
 *
 * @param options - Clock, random numbers, this entry and callbacks.
 * @returns The router.
 */
export const createRouter = (options: RouterOptions): Router => {
	const {clock, random, log, metrics, self, chooseZone = chooseAnyZone, maximumQueued, fetchReport = async () => undefined, schedule = scheduleTimeout, slotDivision = 'borrowed'} = options;
	const linkCaps = createLinkCaps(clock, self.region);
	const services = new Map<string, ServiceRouter>();
	let weights: ReadonlyMap<string, number> = new Map();
	let entries: readonly EntryLocation[] = [self];
	let configuration: Configuration | undefined;
	let leaving: ReadonlySet<string> = new Set();

	const isListedAsLeaving = (endpointId: string) => leaving.has(endpointId);

	const createService = (service: string): ServiceRouter => createServiceRouter({
		clock,
		random,
		schedule,
		self,
		linkCaps,
		slotDivision,
		fetchReport,
		maximumQueued,
		chooseZone: requestClass => chooseZone(service, requestClass),
		weightOf: tenant => weights.get(tenant) ?? defaultWeight,
		onAttempt(cause) {
			metrics.increment('attempts_total', {service, cause});
		},
		onHealthChange(endpoint, state, reason) {
			metrics.increment('endpoint_health_changes_total', {service, endpoint, state});
			log(state === 'ejected' ? routingEvents.endpointEjected : routingEvents.endpointRecovered, {service, endpoint, reason});
		},
	});

	const configureServices = ({intent}: Configuration) => {
		const regions = new Map(intent.regions.flatMap(({name, availabilityZones}) => availabilityZones.map(zone => [zone, name] as const)));
		const drained = drainedEndpoints(intent);
		const draining = drainingZones(intent);
		weights = new Map(intent.tenants.map(({name, weight}) => [name, weight]));
		linkCaps.configure(intent.linkCaps, region => entries.filter(entry => entry.region === region).length);
		for (const service of intent.services) {
			const router = services.get(service.name) ?? createService(service.name);
			services.set(service.name, router);
			router.configure({
				service, entries, drained, draining, regionOf: zone => regions.get(zone),
			});
			router.setListedAsLeaving(isListedAsLeaving);
		}

		const configuredNames = new Set(intent.services.map(({name}) => name));
		for (const name of services.keys()) {
			if (!configuredNames.has(name)) {
				services.delete(name);
			}
		}
	};

	const reconfigure = () => {
		if (configuration !== undefined) {
			configureServices(configuration);
		}
	};

	const allTrackers = () => [...services.values()].flatMap(router => router.trackers());

	const queuedOfClass = (requestClass: RequestClass) => [...services.values()].reduce((total, router) => total + router.queued(requestClass), 0);

	return {
		configure(newConfiguration) {
			configuration = newConfiguration;
			reconfigure();
		},
		setEntries(newEntries) {
			entries = newEntries.some(({id}) => id === self.id) ? newEntries : [...newEntries, self];
			reconfigure();
		},
		async route(request, send) {
			const router = services.get(request.service);
			const outcome = router === undefined
				? {
					kind: 'not-run', reason: 'unknownService', detail: `no service "${request.service}" is configured`, attempts: 0,
				} as const
				: await router.route(request, send);
			if (outcome.kind === 'not-run') {
				metrics.increment('refusals_total', {service: request.service, class: request.route.requestClass, reason: outcome.reason});
			}

			return outcome;
		},
		observeReport(endpointId, report, atMs) {
			for (const router of services.values()) {
				const tracker = router.trackers().find(({endpoint}) => endpoint.id === endpointId);
				if (tracker !== undefined) {
					tracker.observeReport(report, atMs, false);
					tracker.health.recordReachable();
					router.startReady();
				}
			}
		},
		setLeaving(endpointIds) {
			leaving = new Set(endpointIds);
			for (const router of services.values()) {
				router.setListedAsLeaving(isListedAsLeaving);
			}
		},
		quietEndpoints: ageMs => allTrackers().filter(tracker => tracker.reportAgeMs() > ageMs).map(({endpoint}) => endpoint),
		conditions: () => [...services].flatMap(([service, router]) => conditionsOf(service, router.trackers())),
		load: () => ({
			inFlight: [...services.values()].reduce((total, router) => total + router.inFlight(), 0),
			queued: requestClasses.reduce((total, requestClass) => total + queuedOfClass(requestClass), 0),
		}),
		state: () => [...services].map(([service, router]) => serviceState(service, router)),
	};
};
