/**
 * Routing of one service: its queue, endpoints, learned durations and budgets.
 */
import type {Clock} from '@filbertwell/utils/clock';
import type {RequestClass} from '@filbertwell/types/intent';
import type {ZoneChoice} from '@filbertwell/types/zoneChoice';
import {canMeetDeadline} from './admission.js';
import type {AttemptCause, Send} from './attempt.js';
import {createAttemptBudget, hedgeShare, retryShare} from './attemptBudget.js';
import {type Waiter, createClassQueue} from './classQueue.js';
import {type RouteDuration, createServiceDurations} from './durationEstimate.js';
import {type Need, isLeaving} from './endpointChoice.js';
import {type PoolLayout, type PoolOptions, createEndpointPool} from './endpointPool.js';
import type {EndpointTracker} from './endpointTracker.js';
import {type Tier, localityOrder} from './localityOrder.js';
import {type Refusal, runRequest} from './requestRun.js';
import {type FetchReport, createRoomSearch} from './roomSearch.js';
import type {RefusalReason, RoutedRequest, RouteOutcome} from './routedRequest.js';
import {createTenantShares, slotsLeftToOthers} from './tenantShares.js';
import type {Lease} from './runningAttempt.js';
import type {Schedule} from './scheduler.js';

/** Routing of one service. */
export type ServiceRouter = {
	readonly configure: (layout: PoolLayout) => void;
	readonly route: <Answer>(request: RoutedRequest, send: Send<Answer>) => Promise<RouteOutcome<Answer>>;
	readonly trackers: () => readonly EndpointTracker[];
	readonly setListedLeaving: (isLeaving: (endpointId: string) => boolean) => void;
	/** Starts waiting requests for which there is room by now. */
	readonly startReady: () => void;
	readonly queued: (requestClass: RequestClass) => number;
	readonly inFlight: () => number;
};

/** Parameters of a service's router. */
export type ServiceRouterOptions = PoolOptions & {
	readonly schedule: Schedule;
	readonly chooseZone: (requestClass: RequestClass) => ZoneChoice;
	readonly weightOf: (tenant: string) => number;
	readonly onAttempt: (cause: AttemptCause) => void;
	readonly fetchReport: FetchReport;
	/** Most requests that wait for a slot; 512 where absent. */
	readonly maximumQueued: number | undefined;
};

/** Room that other entries leave shows only in reports, so a waiting queue looks again. */
const lookAgainMs = 10;

const useWithoutContention = 0.6;

const refusal = (reason: RefusalReason, detail: string): Refusal => ({kind: 'refused', reason, detail});

/**
 * Creates the router of a service.
 *
 * @param options - Clock, timers, choice and hooks.
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
	const roomSearch = createRoomSearch({
		clock, random, fetchReport, meanUse: pool.meanUse, onReports: queue.startReady,
	});
	const tiersByZone = new Map<string, readonly Tier[]>();
	let inFlight = 0;
	let longInFlight = 0;
	let isLookingAgain = false;
	let draining: ReadonlySet<string> = new Set();

	const tiersFor = (zone: string | undefined): readonly Tier[] => {
		const key = zone ?? '';
		const known = tiersByZone.get(key);
		const tiers = known ?? localityOrder({
			trackers: pool.trackers(), self, chosenZone: zone, draining,
		});
		tiersByZone.set(key, tiers);
		return tiers;
	};

	const lease = (tracker: EndpointTracker, duration: RouteDuration, tenant: string): Lease => {
		const isLong = duration.isLong();
		const flight = {
			startedAtMs: clock(), expectedMs: duration.firstByte(tracker.region).medianMs(), isLong, hasAnswer: false,
		};
		tracker.start(flight);
		shares.start(tenant);
		inFlight += 1;
		longInFlight += isLong ? 1 : 0;
		let isReleased = false;
		return {
			tracker,
			flight,
			release() {
				if (!isReleased) {
					isReleased = true;
					tracker.end(flight);
					shares.end(tenant);
					inFlight -= 1;
					pool.meanUse.recordHeld(clock() - flight.startedAtMs);
					longInFlight -= isLong ? 1 : 0;
					queue.startReady();
				}
			},
		};
	};

	/** Whether a tenant that uses more than its share must leave the last slots to others. */
	const mustLeaveLast = (tenant: string): boolean => {
		const slots = pool.ownedSlots();
		return inFlight >= slots - slotsLeftToOthers(slots) && pool.meanUse.value() > useWithoutContention && shares.isOverShare(tenant, slots);
	};

	const tryLease = (need: Need, duration: RouteDuration, tenant: string): Lease | undefined => {
		const tracker = mustLeaveLast(tenant) ? undefined : pool.choose(need);
		return tracker === undefined ? undefined : lease(tracker, duration, tenant);
	};

	const lookAgain = () => {
		isLookingAgain = false;
		queue.startReady();
		if (queue.size() > 0) {
			searchRoom(undefined);
		}

		lookAgainLater();
	};

	const searchRoom = (zone: string | undefined) => {
		const near = tiersFor(zone).flatMap(tier => tier.trackers);
		roomSearch.search(near.filter(tracker => tracker.inFlight() < tracker.slots() && !isLeaving(tracker) && tracker.health.state() === 'healthy'));
	};

	const lookAgainLater = () => {
		if (!isLookingAgain && queue.size() > 0) {
			isLookingAgain = true;
			schedule(lookAgainMs, lookAgain);
		}
	};

	const wait = async (request: RoutedRequest, need: Need, duration: RouteDuration, lane: string): Promise<Lease | Refusal> => {
		const expectedMs = duration.meanHeldMs();
		return new Promise(resolve => {
			const finish = (result: Lease | Refusal) => {
				cancelTimer();
				request.signal.removeEventListener('abort', leave);
				resolve(result);
			};

			const waiter: Waiter = {
				tenant: request.tenant,
				costMs: expectedMs,
				requestClass: request.route.requestClass,
				lane,
				tryStart() {
					const started = tryLease(need, duration, request.tenant);
					if (started !== undefined) {
						finish(started);
					}

					return started !== undefined;
				},
				displaced() {
					finish(refusal('displaced', 'a request of a higher class or a lighter tenant took its place in the full queue'));
				},
			};
			const leave = () => {
				queue.remove(waiter);
				finish(refusal('waitedTooLong', 'the caller has gone'));
			};

			const cancelTimer = schedule(request.deadlineAtMs - clock() - expectedMs, () => {
				queue.remove(waiter);
				finish(refusal('waitedTooLong', 'no endpoint had room while the deadline could still be met'));
			});
			request.signal.addEventListener('abort', leave);
			if (!queue.push(waiter)) {
				finish(refusal('queueFull', 'too many requests wait for this service'));
			}

			searchRoom(undefined);
			lookAgainLater();
		});
	};

	const acquire = async (request: RoutedRequest, need: Need, duration: RouteDuration, lane: string): Promise<Lease | Refusal> => {
		const {requestClass} = request.route;
		const remainingMs = request.deadlineAtMs - clock();
		const aheadMs = queue.size() === 0 ? 0 : queue.aheadMs({requestClass, lane, tenant: request.tenant});
		const expectedMs = duration.meanHeldMs();
		if (remainingMs <= 0) {
			return refusal('deadlineTooShort', 'the deadline has passed');
		}

		if (!pool.hasUsable() || need.tiers.length === 0) {
			return refusal('noEndpoint', 'no endpoint of the service takes new work');
		}

		const leased = aheadMs === 0 ? tryLease(need, duration, request.tenant) : undefined;
		if (leased !== undefined) {
			return leased;
		}

		const concurrency = need.isLong ? longInFlight : inFlight;
		return canMeetDeadline({
			remainingMs, expectedMs, aheadMs, concurrency,
		})
			? wait(request, need, duration, lane)
			: refusal('deadlineTooShort', 'the wait for an endpoint would pass the deadline');
	};

	/** Endpoints that have failed a request serve it again where there are no others. */
	const unlessAll = (excluded: readonly EndpointTracker[], tiers: readonly Tier[]): readonly EndpointTracker[] =>
		tiers.some(tier => tier.trackers.some(tracker => !excluded.includes(tracker) && !isLeaving(tracker))) ? excluded : [];

	const otherZone = ({tracker}: Lease, tiers: readonly Tier[]): string | undefined => {
		const zone = tracker.endpoint.availabilityZone;
		return tiers.some(tier => tier.trackers.some(({endpoint}) => endpoint.availabilityZone !== zone)) ? zone : undefined;
	};

	return {
		configure(layout) {
			pool.configure(layout);
			draining = layout.draining;
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
			const needBase = {tiers, isLong, mayProbe: request.route.kind === 'idempotent'};
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
				acquire: async excluded => acquire(request, {...needBase, excluded: unlessAll(excluded, tiers), otherThanZone: undefined}, duration, lane),
				tryAcquireElsewhere(first) {
					const leased = queue.size() > 0 && pool.meanUse.isTooFull(false)
						? undefined
						: tryLease({
							...needBase, mayProbe: false, excluded: [first.tracker], otherThanZone: otherZone(first, tiers),
						}, duration, request.tenant);
					if (leased === undefined) {
						searchRoom(choice.kind === 'zone' ? choice.availabilityZone : undefined);
					}

					return leased;
				},
				tryAcquireProbe() {
					const tracker = pool.chooseProbe(tiers);
					return tracker === undefined ? undefined : lease(tracker, duration, request.tenant);
				},
				countBytes(tracker, sent, received) {
					if (tracker.region !== self.region) {
						linkCaps.count(tracker.region, sent, received);
					}
				},
			});
		},
		trackers: pool.trackers,
		setListedLeaving(isLeaving) {
			pool.setLeaving('instanceList', isLeaving);
		},
		startReady: queue.startReady,
		queued: queue.sizeOfClass,
		inFlight: () => inFlight,
	};
};
