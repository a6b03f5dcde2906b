/**
 * Routes the requests of one service: combines its queue, endpoints, learned durations and attempt
 * budgets.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {RequestClass} from '@filbertwell/types/intent';
import type {ZoneChoice} from '@filbertwell/types/zoneChoice';
import {canMeetDeadline} from './admission.js';
import type {AttemptCause, Send} from './attempt.js';
import {createAttemptBudget, hedgeShare, retryShare} from './attemptBudget.js';
import {type QueuedRequest, createClassQueue} from './classQueue.js';
import {type RouteDuration, createServiceDurations} from './durationEstimate.js';
import {type EndpointRequirements, isLeaving} from './endpointChoice.js';
import {type PoolConfiguration, type PoolOptions, createEndpointPool} from './endpointPool.js';
import type {EndpointTracker} from './endpointTracker.js';
import {type LocalityTier, localityOrder} from './localityOrder.js';
import {type Refusal, runRequest} from './requestRun.js';
import {type FetchReport, createSlotSearch} from './slotSearch.js';
import type {RefusalReason, RoutedRequest, RouteOutcome} from './routedRequest.js';
import {createTenantShares, slotsReservedForOthers} from './tenantShares.js';
import type {Lease} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** Routes the requests of one service. */
export type ServiceRouter = {
	readonly configure: (configuration: PoolConfiguration) => void;
	/** Routes a request; resolves when its outcome is decided. The body of an answer may still be in transit. */
	readonly route: <Answer>(request: RoutedRequest, send: Send<Answer>) => Promise<RouteOutcome<Answer>>;
	readonly trackers: () => readonly EndpointTracker[];
	/** Sets which endpoints the instance list shows as leaving. */
	readonly setListedAsLeaving: (isLeaving: (endpointId: string) => boolean) => void;
	/** Starts the waiting requests for which there are free slots. */
	readonly startReady: () => void;
	/** Number of waiting requests of a class. */
	readonly queued: (requestClass: RequestClass) => number;
	/** Number of attempts in flight. */
	readonly inFlight: () => number;
};

/** Dependencies of a service's router. */
export type ServiceRouterOptions = PoolOptions & {
	readonly schedule: Schedule;
	/** Availability zone that steering chooses for the next request of a class. */
	readonly chooseZone: (requestClass: RequestClass) => ZoneChoice;
	readonly weightOf: (tenant: string) => number;
	/** Called at the start of each attempt. */
	readonly onAttempt: (cause: AttemptCause) => void;
	readonly fetchReport: FetchReport;
	/** Maximum number of requests that wait for a slot; 512 when `undefined`. */
	readonly maximumQueued: number | undefined;
};

/** Interval at which a non-empty queue is checked, since slots that other entries free are visible only in load reports. */
const queueCheckMs = 10;

/** Mean utilization above which tenants over their share must leave slots free. */
const contentionUtilization = 0.6;

const refusal = (reason: RefusalReason, detail: string): Refusal => ({kind: 'refused', reason, detail});

/**
 * Creates the router of a service.
 *
 * @param options - Clock, timers, the dependencies of the endpoint pool and callbacks.
 * @returns The router, which refuses all requests before `configure`.
 */
export const createServiceRouter = (options: ServiceRouterOptions): ServiceRouter => {
	const {clock, schedule, self, linkCaps, chooseZone, weightOf, onAttempt, fetchReport, random, maximumQueued} = options;
	const pool = createEndpointPool(options);
	const durations = createServiceDurations();
	const queue = createClassQueue(weightOf, maximumQueued);
	const shares = createTenantShares(clock, weightOf);
	const retryBudget = createAttemptBudget(retryShare);
	const hedgeBudget = createAttemptBudget(hedgeShare);
	const slotSearch = createSlotSearch({
		clock, random, fetchReport, meanUtilization: pool.meanUtilization, onReports: queue.startReady,
	});
	const tiersByZone = new Map<string, readonly LocalityTier[]>();
	let inFlight = 0;
	let longInFlight = 0;
	let isQueueCheckScheduled = false;
	let draining: ReadonlySet<string> = new Set();

	const tiersFor = (zone: string | undefined): readonly LocalityTier[] => {
		const key = zone ?? '';
		const cachedTiers = tiersByZone.get(key);
		const tiers = cachedTiers ?? localityOrder({
			trackers: pool.trackers(), self, chosenZone: zone, draining,
		});
		tiersByZone.set(key, tiers);
		return tiers;
	};

	const lease = (tracker: EndpointTracker, duration: RouteDuration, tenant: string): Lease => {
		const isLong = duration.isLong();
		const inFlightRequest = {
			startedAtMs: clock(), expectedFirstByteMs: duration.firstByte(tracker.region).medianMs(), isLong, isAnswered: false,
		};
		tracker.start(inFlightRequest);
		shares.start(tenant);
		inFlight += 1;
		longInFlight += isLong ? 1 : 0;
		let isReleased = false;
		return {
			tracker,
			inFlightRequest,
			release() {
				if (!isReleased) {
					isReleased = true;
					tracker.end(inFlightRequest);
					shares.end(tenant);
					inFlight -= 1;
					pool.meanUtilization.recordSlotTime(clock() - inFlightRequest.startedAtMs);
					longInFlight -= isLong ? 1 : 0;
					queue.startReady();
				}
			},
		};
	};

	/** Whether a tenant is over its share and must leave the last free slots to others. */
	const mustReserveSlots = (tenant: string): boolean => {
		const slots = pool.ownedSlots();
		return inFlight >= slots - slotsReservedForOthers(slots) && pool.meanUtilization.value() > contentionUtilization && shares.isOverShare(tenant, slots);
	};

	const tryLease = (requirements: EndpointRequirements, duration: RouteDuration, tenant: string): Lease | undefined => {
		const tracker = mustReserveSlots(tenant) ? undefined : pool.choose(requirements);
		return tracker === undefined ? undefined : lease(tracker, duration, tenant);
	};

	const checkQueue = () => {
		isQueueCheckScheduled = false;
		queue.startReady();
		if (queue.size() > 0) {
			searchSlots(undefined);
		}

		scheduleQueueCheck();
	};

	const searchSlots = (zone: string | undefined) => {
		const candidates = tiersFor(zone).flatMap(tier => tier.trackers);
		slotSearch.search(candidates.filter(tracker => tracker.inFlight() < tracker.slots() && !isLeaving(tracker) && tracker.health.state() === 'healthy'));
	};

	const scheduleQueueCheck = () => {
		if (!isQueueCheckScheduled && queue.size() > 0) {
			isQueueCheckScheduled = true;
			schedule(queueCheckMs, checkQueue);
		}
	};

	const wait = async (request: RoutedRequest, requirements: EndpointRequirements, duration: RouteDuration, lane: string): Promise<Lease | Refusal> => {
		const expectedSlotTimeMs = duration.meanSlotTimeMs();
		return new Promise(resolve => {
			const settle = (result: Lease | Refusal) => {
				cancelTimer();
				request.signal.removeEventListener('abort', onCallerDisconnect);
				resolve(result);
			};

			const queuedRequest: QueuedRequest = {
				tenant: request.tenant,
				costMs: expectedSlotTimeMs,
				requestClass: request.route.requestClass,
				lane,
				tryStart() {
					const started = tryLease(requirements, duration, request.tenant);
					if (started !== undefined) {
						settle(started);
					}

					return started !== undefined;
				},
				onDisplaced() {
					settle(refusal('displaced', 'a request of a higher class or a lighter tenant took its place in the full queue'));
				},
			};
			const onCallerDisconnect = () => {
				queue.remove(queuedRequest);
				settle(refusal('waitedTooLong', 'the caller has gone'));
			};

			const cancelTimer = schedule(request.deadlineAtMs - clock() - expectedSlotTimeMs, () => {
				queue.remove(queuedRequest);
				settle(refusal('waitedTooLong', 'no endpoint had room while the deadline could still be met'));
			});
			request.signal.addEventListener('abort', onCallerDisconnect);
			if (!queue.push(queuedRequest)) {
				settle(refusal('queueFull', 'too many requests wait for this service'));
			}

			searchSlots(undefined);
			scheduleQueueCheck();
		});
	};

	const acquire = async (request: RoutedRequest, requirements: EndpointRequirements, duration: RouteDuration, lane: string): Promise<Lease | Refusal> => {
		const {requestClass} = request.route;
		const remainingMs = request.deadlineAtMs - clock();
		const workAheadMs = queue.size() === 0 ? 0 : queue.workAheadMs({requestClass, lane, tenant: request.tenant});
		const expectedSlotTimeMs = duration.meanSlotTimeMs();
		if (remainingMs <= 0) {
			return refusal('deadlineTooShort', 'the deadline has passed');
		}

		if (!pool.hasUsableEndpoint() || requirements.tiers.length === 0) {
			return refusal('noEndpoint', 'no endpoint of the service takes new work');
		}

		const leased = workAheadMs === 0 ? tryLease(requirements, duration, request.tenant) : undefined;
		if (leased !== undefined) {
			return leased;
		}

		const concurrency = requirements.isLong ? longInFlight : inFlight;
		return canMeetDeadline({
			remainingMs, expectedSlotTimeMs, workAheadMs, concurrency,
		})
			? wait(request, requirements, duration, lane)
			: refusal('deadlineTooShort', 'the wait for an endpoint would pass the deadline');
	};

	/** Excludes the endpoints that have failed a request, unless there are no others. */
	const excludedUnlessAll = (excluded: readonly EndpointTracker[], tiers: readonly LocalityTier[]): readonly EndpointTracker[] =>
		tiers.some(tier => tier.trackers.some(tracker => !excluded.includes(tracker) && !isLeaving(tracker))) ? excluded : [];

	const zoneToAvoid = ({tracker}: Lease, tiers: readonly LocalityTier[]): string | undefined => {
		const zone = tracker.endpoint.availabilityZone;
		return tiers.some(tier => tier.trackers.some(({endpoint}) => endpoint.availabilityZone !== zone)) ? zone : undefined;
	};

	return {
		configure(configuration) {
			pool.configure(configuration);
			draining = configuration.draining;
			tiersByZone.clear();
			queue.startReady();
		},
		async route(request, send) {
			const duration = durations.ofRoute(request.route.name);
			const choice = chooseZone(request.route.requestClass);
			if (choice.kind === 'refused') {
				return {
					kind: 'not-run', reason: 'noZone', detail: 'no availability zone may take more of the service under the shift caps', attempts: 0,
				};
			}

			const zone = choice.kind === 'zone' ? choice.availabilityZone : undefined;
			const tiers = tiersFor(zone);
			const isLong = duration.isLong();
			const lane = `${tiers[0]?.trackers[0]?.region ?? ''}/${isLong ? 'long' : 'short'}`;
			const baseRequirements = {tiers, isLong, mayProbe: request.route.kind === 'idempotent'};
			duration.recordArrival();
			shares.recordArrival(request.tenant);
			retryBudget.recordRequest();
			hedgeBudget.recordRequest();
			return runRequest({
				clock,
				schedule,
				request,
				duration,
				send,
				retryBudget,
				hedgeBudget,
				onAttempt,
				acquire: async excluded => acquire(request, {...baseRequirements, excluded: excludedUnlessAll(excluded, tiers), avoidedZone: undefined}, duration, lane),
				tryAcquireForHedge(first) {
					const leased = queue.size() > 0 && pool.meanUtilization.preventsBorrowing(false)
						? undefined
						: tryLease({
							...baseRequirements, mayProbe: false, excluded: [first.tracker], avoidedZone: zoneToAvoid(first, tiers),
						}, duration, request.tenant);
					if (leased === undefined) {
						searchSlots(choice.kind === 'zone' ? choice.availabilityZone : undefined);
					}

					return leased;
				},
				tryAcquireProbe() {
					const tracker = pool.chooseProbe(tiers);
					return tracker === undefined ? undefined : lease(tracker, duration, request.tenant);
				},
				countBytes(tracker, sent, received) {
					if (tracker.region !== self.region) {
						linkCaps.recordBytes(tracker.region, sent, received);
					}
				},
			});
		},
		trackers: pool.trackers,
		setListedAsLeaving(isLeaving) {
			pool.setLeaving('instanceList', isLeaving);
		},
		startReady: queue.startReady,
		queued: queue.sizeOfClass,
		inFlight: () => inFlight,
	};
};
