/**
 * Chooses an endpoint for each request, or refuses it where none can serve it in time.
 */
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {PlannedService} from '@filbertwell/types/trafficPlan';
import type {Clock} from '@filbertwell/utils/clock';
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {Random} from '@filbertwell/utils/random';
import {affinityOrder, affinityScore} from './affinityOrder.js';
import {createArrivalMix} from './arrivalMix.js';
import {createColdAllowance} from './coldAllowance.js';
import {type CompletionEstimate, estimateCompletion} from './completionEstimate.js';
import type {DispatchedRequest, DispatchRefusal, EndpointLease} from './dispatchedRequest.js';
import {createEndpointPool} from './endpointPool.js';
import {createOverflowAllowance, type OverflowAllowance} from './overflowAllowance.js';
import {
	createMovingShares, type MovingShares, type RegionLoad, wantedShares,
} from './regionShares.js';
import type {SendResult, TrackedEndpoint} from './trackedEndpoint.js';
import {createWorkEstimate, type WorkEstimate} from './workEstimate.js';

/** Instances as the dispatcher needs to know them. */
export type InstanceSummary = {
	readonly id: string;
	readonly region: RegionName;
	readonly requestsPerSecond: number;
};

/** Parameters of the dispatcher. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly self: {readonly id: string; readonly region: RegionName; readonly availabilityZone: AvailabilityZoneName};
	readonly regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>;
	/** All instances that serve, this one included. */
	readonly instances: () => readonly InstanceSummary[];
	readonly serviceOf: (name: string) => PlannedService | undefined;
	/** Largest part of a region's requests that may change their serving region within two seconds. */
	readonly largestShift: () => number;
	readonly random: Random;
};

/** Chooses endpoints. */
export type Dispatcher = {
	readonly configure: (registered: ReadonlyMap<string, RegisteredEndpoint>, evacuated: ReadonlySet<AvailabilityZoneName>) => void;
	/** Counts a request for a service, before its first send. */
	readonly recordArrival: (service: string) => void;
	/** Chooses an endpoint for one send of a request. */
	readonly acquire: (request: DispatchedRequest) => EndpointLease | DispatchRefusal;
	readonly find: (endpointId: string) => TrackedEndpoint | undefined;
	readonly usable: (service: string) => readonly TrackedEndpoint[];
	readonly discard: (endpointId: string) => void;
	/** Takes in the time that opening a connection to an endpoint took, in milliseconds. */
	readonly recordConnect: (zone: AvailabilityZoneName, milliseconds: number) => void;
	/** Moves the shares between regions; called several times a second. */
	readonly step: () => void;
};

/** Round trips until connections have been measured, in milliseconds. */
const firstSameRegionMs = 2;
const firstOtherRegionMs = 60;
const roundTripWeight = 0.2;
/** Requests waiting at an endpoint for each of its slots from which it gets no more. */
const largestQueuePerSlot = 1.5;
/** How likely the first, second and third choice of a key are warm for it, whoever sent it there. */
const rankWarmth = [0.95, 0.6, 0.3] as const;
/** The same for an endpoint that lately got the key from this instance. */
const seenWarmth = 0.9;
/** Likelihood from which an answer's time counts as that of warm work. */
const warmFrom = 0.85;
/** Least gain for which a request leaves its region, in milliseconds. */
const overflowGainMs = 50;
/** Part of the bound on shifts by which shares move in a second: the bound holds for two. */
const sharesPart = 0.25;
/** Work of a service until its first answers, in milliseconds. */
const assumedWorkMs = 300;
/** Weight of a new sample in a service's mean work. */
const meanWorkWeight = 0.04;
/** When a caller is asked to come back to a service without endpoints: about the time in which they register again. */
const noEndpointWaitMs = 1000;
const millisecondsPerSecond = 1000;

type Candidate = {
	readonly endpoint: TrackedEndpoint;
	readonly estimate: CompletionEstimate;
	readonly isWarm: boolean;
};

/**
 * Creates a dispatcher without endpoints.
 *
 * @param options - Place, peers and plan.
 * @returns The dispatcher.
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, self, instances, serviceOf, regionOfZone, largestShift, random} = options;
	const pool = createEndpointPool(clock, regionOfZone);
	const cold = createColdAllowance(clock, self.id, () => instances().map(({id}) => id));
	const roundTrips = new Map<AvailabilityZoneName, number>();
	const work = new Map<string, WorkEstimate>();
	const meanWork = new Map<string, number>();
	const arrivals = createArrivalMix(clock);
	const shares = new Map<string, MovingShares>();
	const overflows = new Map<string, OverflowAllowance>();

	const overflowOf = (service: string): OverflowAllowance => {
		const allowance = overflows.get(service) ?? createOverflowAllowance(clock, largestShift);
		overflows.set(service, allowance);
		return allowance;
	};

	const meanWorkOf = (service: string): number => meanWork.get(service) ?? assumedWorkMs;

	const workOf = ({name, latencyTargetMs}: DispatchedRequest['route']): WorkEstimate => {
		const estimate = work.get(name) ?? createWorkEstimate(latencyTargetMs);
		work.set(name, estimate);
		return estimate;
	};

	const roundTripMs = (zone: AvailabilityZoneName): number => roundTrips.get(zone)
		?? (pool.regionOf(zone) === self.region ? firstSameRegionMs : firstOtherRegionMs);

	const loadsByRegion = (service: string): RegionLoad[] => {
		const loads = new Map<RegionName, {demand: number; capacity: number}>();
		const loadOf = (region: RegionName) => {
			const load = loads.get(region) ?? {demand: 0, capacity: 0};
			loads.set(region, load);
			return load;
		};

		for (const {region, requestsPerSecond} of instances()) {
			loadOf(region).demand += requestsPerSecond;
		}

		for (const endpoint of pool.usable(service)) {
			loadOf(pool.regionOf(endpoint.registered().endpoint.availabilityZone)).capacity += endpoint.slots() / endpoint.slowdown();
		}

		// Requests a second of all services become slots of this one; other instances have the same mix.
		const slotsPerRequest = arrivals.shareOf(service) * meanWorkOf(service) / millisecondsPerSecond;
		return [...loads].map(([region, {demand, capacity}]) => ({region, demand: demand * slotsPerRequest, capacity}));
	};

	const stepService = (service: string, moving: MovingShares) => {
		const loads = loadsByRegion(service);
		const withCapacity = new Set(loads.filter(({capacity}) => capacity > 0).map(({region}) => region));
		moving.update(wantedShares(self.region, loads), withCapacity);
	};

	const sharesOf = (service: string): MovingShares => {
		let moving = shares.get(service);
		if (moving === undefined) {
			moving = createMovingShares(clock, largestShift() * sharesPart);
			shares.set(service, moving);
			stepService(service, moving);
		}

		return moving;
	};

	const mayServe = (candidate: TrackedEndpoint, {route, tried}: DispatchedRequest): boolean => {
		const {id, availabilityZone, service} = candidate.registered().endpoint;
		const isAllowed = route.allowedRegions.length === 0 || route.allowedRegions.includes(pool.regionOf(availabilityZone));
		return isAllowed && !tried.has(id) && !candidate.isEjected()
			&& (!candidate.isCold() || cold.mayTake(id, serviceOf(service)?.coldRequestsPerSecond ?? 1));
	};

	/** Regions in the order in which a request should use them: a key keeps its region while the shares stay. */
	const regionOrder = (request: DispatchedRequest, key: string | undefined): RegionName[] => {
		const places = [...sharesOf(request.service).current()].map(([region, share]) => ({id: region, weight: share}));
		return affinityOrder(key ?? String(random()), places);
	};

	/** Endpoints that all instances take a key to, first choice first. */
	const keyOrder = (key: string | undefined, inRegion: readonly TrackedEndpoint[]): readonly TrackedEndpoint[] => {
		if (key === undefined) {
			return [];
		}

		const scored = inRegion.map(endpoint => ({endpoint, score: affinityScore(key, {id: endpoint.registered().endpoint.id, weight: endpoint.slots()})}));
		return scored.toSorted((a, b) => b.score - a.score).slice(0, rankWarmth.length).map(({endpoint}) => endpoint);
	};

	const warmthOf = (candidate: TrackedEndpoint, key: string | undefined, order: readonly TrackedEndpoint[]): number => {
		const rank = order.indexOf(candidate);
		const assumed = rank === -1 ? 0 : rankWarmth[rank]!;
		return key !== undefined && candidate.keys.has(key) ? Math.max(seenWarmth, assumed) : assumed;
	};

	const evaluate = (request: DispatchedRequest, key: string | undefined, candidates: readonly TrackedEndpoint[], order: readonly TrackedEndpoint[]): Candidate[] => {
		const estimate = workOf(request.route);
		return candidates.map(endpoint => {
			const warmth = warmthOf(endpoint, key, order);
			return {
				endpoint,
				isWarm: warmth >= warmFrom,
				estimate: estimateCompletion({
					endpoint,
					roundTripMs: roundTripMs(endpoint.registered().endpoint.availabilityZone),
					warmMs: estimate.warmMs(),
					coldMs: estimate.coldMs(),
					warmth,
					meanWorkMs: meanWorkOf(request.service),
				}),
			};
		});
	};

	/** The candidate with the least cost among those whose queue takes more. */
	const cheapest = (evaluated: readonly Candidate[]): Candidate | undefined => {
		let best: Candidate | undefined;
		for (const candidate of evaluated) {
			const {endpoint, estimate} = candidate;
			const hasRoom = endpoint.load() < endpoint.slots() * (1 + largestQueuePerSlot);
			if (hasRoom && (best === undefined || estimate.cost < best.estimate.cost)) {
				best = candidate;
			}
		}

		return best;
	};

	const regionOfEndpoint = (endpoint: TrackedEndpoint): RegionName => pool.regionOf(endpoint.registered().endpoint.availabilityZone);

	/** Chooses in the request's region first, and elsewhere where that would be late and there is allowance. */
	const choose = (request: DispatchedRequest, candidates: readonly TrackedEndpoint[]): {readonly best: Candidate | undefined; readonly evaluated: readonly Candidate[]} => {
		const key = request.affinityKey === undefined || !request.route.isSticky ? undefined : `${request.route.name}\u0000${request.affinityKey}`;
		const order = regionOrder(request, key);
		const region = order.find(name => candidates.some(candidate => regionOfEndpoint(candidate) === name));
		const usable = pool.usable(request.service);
		const evaluateRegion = (name: RegionName) => evaluate(
			request,
			key,
			candidates.filter(candidate => regionOfEndpoint(candidate) === name),
			keyOrder(key, usable.filter(endpoint => regionOfEndpoint(endpoint) === name)),
		);
		const inRegion = region === undefined ? evaluate(request, key, candidates, []) : evaluateRegion(region);
		const best = cheapest(inRegion);
		const isInTime = best !== undefined && clock() + best.estimate.totalMs <= request.targetAtMs;
		if (isInTime || region === undefined) {
			return {best, evaluated: inRegion};
		}

		const elsewhere = order.filter(name => name !== region).flatMap(name => evaluateRegion(name));
		const other = cheapest(elsewhere);
		const isBetter = other !== undefined && (best === undefined || other.estimate.cost + overflowGainMs < best.estimate.cost);
		const evaluated = [...inRegion, ...elsewhere];
		return isBetter && overflowOf(request.service).tryTake() ? {best: other, evaluated} : {best, evaluated};
	};

	const recordWork = (request: DispatchedRequest, {endpoint, isWarm, estimate}: Candidate, tookMs: number) => {
		const zone = endpoint.registered().endpoint.availabilityZone;
		const heldMs = Math.max(1, tookMs - roundTripMs(zone) - estimate.waitMs);
		const known = meanWork.get(request.service) ?? heldMs;
		meanWork.set(request.service, known + (meanWorkWeight * (heldMs - known)));
		if (estimate.waitMs === 0) {
			workOf(request.route).record(isWarm, heldMs / endpoint.slowdown());
		}

		return estimate.waitMs === 0 ? heldMs / (estimate.workMs / endpoint.slowdown()) : undefined;
	};

	const lease = (request: DispatchedRequest, chosen: Candidate): EndpointLease => {
		const {endpoint, estimate} = chosen;
		const {endpoint: registered} = endpoint.registered();
		const flight = endpoint.start(estimate.totalMs);
		let isEnded = false;
		if (endpoint.isCold()) {
			cold.take(registered.id, serviceOf(registered.service)?.coldRequestsPerSecond ?? 1);
		}

		if (request.affinityKey !== undefined && request.route.isSticky) {
			endpoint.keys.add(`${request.route.name}\u0000${request.affinityKey}`);
		}

		return {
			endpoint: registered,
			expectedMs: estimate.totalMs,
			expectedWaitMs: estimate.waitMs,
			reportLoad: endpoint.reportLoad,
			end(kind) {
				if (isEnded) {
					return;
				}

				isEnded = true;
				const result: SendResult = kind === 'answered'
					? {kind, speedRatio: recordWork(request, chosen, clock() - flight.startedAtMs)}
					: {kind};
				endpoint.end(flight, result);
			},
		};
	};

	return {
		configure: pool.configure,
		recordArrival(service) {
			arrivals.record(service);
			overflowOf(service).recordRequest();
		},
		acquire(request) {
			const candidates = pool.usable(request.service).filter(candidate => mayServe(candidate, request));
			if (candidates.length === 0) {
				return {kind: 'refused', reason: 'noEndpoint', expectedWaitMs: noEndpointWaitMs};
			}

			const {best, evaluated} = choose(request, candidates);
			if (best === undefined) {
				const shortest = Math.min(...evaluated.map(({estimate}) => estimate.waitMs));
				return {kind: 'refused', reason: 'overloaded', expectedWaitMs: shortest};
			}

			return clock() + best.estimate.totalMs > request.deadlineAtMs
				? {kind: 'refused', reason: 'deadlineTooShort', expectedWaitMs: best.estimate.waitMs}
				: lease(request, best);
		},
		find: pool.find,
		usable: pool.usable,
		discard: pool.discard,
		recordConnect(zone, milliseconds) {
			const known = roundTripMs(zone);
			roundTrips.set(zone, known + (roundTripWeight * (milliseconds - known)));
		},
		step() {
			for (const [service, moving] of shares) {
				stepService(service, moving);
			}
		},
	};
};
