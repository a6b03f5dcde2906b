/**
 * Chooses an endpoint for each request, or refuses it where none can serve it in time.
 */
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {PlannedService} from '@filbertwell/types/trafficPlan';
import type {Clock} from '@filbertwell/utils/clock';
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {Random} from '@filbertwell/utils/random';
import {affinityOrder} from './affinityOrder.js';
import {createArrivalMix} from './arrivalMix.js';
import {createColdAllowance} from './coldAllowance.js';
import {estimateCompletion} from './completionEstimate.js';
import type {DispatchedRequest, DispatchRefusal, EndpointLease} from './dispatchedRequest.js';
import {
	type Candidate, chooseWithin, isAtEase, type Room, roomOf,
} from './endpointChoice.js';
import {createEndpointPool} from './endpointPool.js';
import {createKeyPlaces} from './keyPlaces.js';
import {createNewcomers} from './newcomers.js';
import {createOverflowAllowance, type OverflowAllowance} from './overflowAllowance.js';
import {createServiceShares} from './serviceShares.js';
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
	/** Whether this instance has had the time to hear of the others. */
	readonly knowsPeers: () => boolean;
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
	readonly discard: (endpointId: string) => void;
	/** Takes in the time that opening a connection to an endpoint took, in milliseconds. */
	readonly recordConnect: (zone: AvailabilityZoneName, milliseconds: number) => void;
	/** Moves the shares between regions; called several times a second. */
	readonly step: () => void;
};

/** A request's key and the endpoint of a region that keeps it warm, where there are both. */
type KeyPlace = {
	readonly key: string | undefined;
	readonly own: TrackedEndpoint | undefined;
	readonly endpoints: readonly TrackedEndpoint[];
};

/** Round trips until connections have been measured, in milliseconds. */
const firstSameRegionMs = 2;
const firstOtherRegionMs = 60;
const roundTripWeight = 0.2;
/** How likely the endpoint that keeps a key is warm for it, whoever sent it there. */
const ownWarmth = 0.95;
/** The same for an endpoint that lately got the key from this instance. */
const seenWarmth = 0.85;
/** Likelihood from which an answer's time counts as that of warm work. */
const warmFrom = 0.85;
/** Work of a service until its first answers, in milliseconds. */
const assumedWorkMs = 300;
/** Weight of a new sample in a service's mean work. */
const meanWorkWeight = 0.04;
/** When a caller is asked to come back to a service without endpoints: about the time in which they register again. */
const noEndpointWaitMs = 1000;
const millisecondsPerSecond = 1000;

/**
 * Creates a dispatcher without endpoints.
 *
 * @param options - Place, peers and plan.
 * @returns The dispatcher.
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, self, instances, knowsPeers, serviceOf, regionOfZone, largestShift, random} = options;
	const pool = createEndpointPool(clock, regionOfZone);
	const places = createKeyPlaces(pool.version);
	const cold = createColdAllowance({
		clock, self: self.id, instances: () => instances().map(({id}) => id), knowsPeers,
	});
	const newcomers = createNewcomers(clock, self.id, () => instances().filter(({region}) => region === self.region).map(({id}) => id));
	const roundTrips = new Map<AvailabilityZoneName, number>();
	const work = new Map<string, WorkEstimate>();
	const meanWork = new Map<string, number>();
	const arrivals = createArrivalMix(clock);
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

	const shares = createServiceShares({
		clock,
		own: self.region,
		demands: instances,
		// Other instances are taken to have the same mix of services.
		slotsPerRequest: service => arrivals.shareOf(service) * meanWorkOf(service) / millisecondsPerSecond,
		endpoints: service => [...pool.usable(service)].flatMap(([region, endpoints]) => endpoints.map(endpoint => ({
			region, slots: endpoint.slots(), slowdown: endpoint.slowdown(), load: endpoint.load(),
		}))),
		largestShift,
	});

	const mayServe = (candidate: TrackedEndpoint, {tried}: DispatchedRequest): boolean => {
		const {id, service} = candidate.registered().endpoint;
		return !tried.has(id) && !candidate.isEjected()
			&& (!candidate.isCold() || cold.mayTake(id, serviceOf(service)?.coldRequestsPerSecond ?? 1));
	};

	const keyOf = ({route, affinityKey}: DispatchedRequest): string | undefined => affinityKey === undefined || !route.isSticky ? undefined : `${route.name}\u0000${affinityKey}`;

	/** Regions in the order in which a request should use them: a key keeps its region while the shares stay. */
	const regionOrder = (request: DispatchedRequest): RegionName[] => {
		const current = shares.of(request.service);
		// A region that has just got its first endpoint has no share yet; a weight of 0 puts it last.
		const regions = new Set([...current.keys(), ...pool.usable(request.service).keys()]);
		return affinityOrder(keyOf(request) ?? String(random()), [...regions].map(region => ({id: region, weight: current.get(region) ?? 0})));
	};

	const warmthOf = (candidate: TrackedEndpoint, {key, own}: KeyPlace): number => {
		if (candidate === own) {
			return ownWarmth;
		}

		return key !== undefined && candidate.keys.has(key) ? seenWarmth : 0;
	};

	/** A request's key with the endpoint of a region that keeps it warm. */
	const placeIn = (request: DispatchedRequest, region: RegionName): KeyPlace => {
		const endpoints = pool.usable(request.service).get(region) ?? [];
		const key = keyOf(request);
		const own = key === undefined
			? undefined
			: places.of({
				key, service: request.service, region, endpoints, mayServe: endpoint => mayServe(endpoint, request),
			});
		return {key, own, endpoints};
	};

	const evaluate = (request: DispatchedRequest, place: KeyPlace, endpoints: readonly TrackedEndpoint[]): Candidate[] => {
		const work = workOf(request.route);
		const warmMs = work.warmMs();
		const coldMs = work.coldMs();
		const meanWorkMs = meanWorkOf(request.service);
		return endpoints.map(endpoint => {
			const warmth = warmthOf(endpoint, place);
			return {
				endpoint,
				isOwn: place.key === undefined || endpoint === place.own,
				isWarm: warmth >= warmFrom,
				estimate: estimateCompletion({
					endpoint, roundTripMs: roundTripMs(endpoint.registered().endpoint.availabilityZone), warmMs, coldMs, warmth, meanWorkMs,
				}),
			};
		});
	};

	/** Endpoints of a region that may serve a request, with their estimates; only the key's own one where that is at ease. */
	const evaluateRegion = (request: DispatchedRequest, region: RegionName, room: Room): Candidate[] => {
		const place = placeIn(request, region);
		const [own] = place.own === undefined ? [] : evaluate(request, place, [place.own]);
		return own !== undefined && isAtEase(own, room)
			? [own]
			: evaluate(request, place, place.endpoints.filter(endpoint => mayServe(endpoint, request)));
	};

	/** Chooses in the request's region first, and elsewhere where that is full and there is allowance. */
	const choose = (request: DispatchedRequest): {readonly best: Candidate | undefined; readonly evaluated: readonly Candidate[]} => {
		const {route, service} = request;
		const isAllowed = (region: RegionName) => route.allowedRegions.length === 0 || route.allowedRegions.includes(region);
		const regions = regionOrder(request).filter(region => isAllowed(region));
		const room = roomOf(request, clock(), workOf(route).isKnown());
		const newcomer = route.kind === 'idempotent' && isAllowed(self.region)
			? newcomers.due(pool.usable(service).get(self.region) ?? [])
			: undefined;
		if (newcomer !== undefined && mayServe(newcomer, request)) {
			const evaluated = evaluate(request, placeIn(request, self.region), [newcomer]);
			return {best: evaluated[0], evaluated};
		}

		let inRegion: Candidate[] = [];
		let used = 0;
		while (inRegion.length === 0 && used < regions.length) {
			inRegion = evaluateRegion(request, regions[used]!, room);
			used += 1;
		}

		const near = chooseWithin(inRegion, room);
		if (near !== undefined || used === regions.length) {
			return {best: near, evaluated: inRegion};
		}

		const elsewhere = regions.slice(used).flatMap(region => evaluateRegion(request, region, room));
		const far = chooseWithin(elsewhere, {...room, largestWaitMs: 0});
		return {best: far !== undefined && overflowOf(service).tryTake() ? far : undefined, evaluated: [...inRegion, ...elsewhere]};
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

		const key = keyOf(request);
		if (key !== undefined) {
			endpoint.keys.add(key);
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
			const {best, evaluated} = choose(request);
			if (evaluated.length === 0) {
				return {kind: 'refused', reason: 'noEndpoint', expectedWaitMs: noEndpointWaitMs};
			}

			return best === undefined
				? {kind: 'refused', reason: 'overloaded', expectedWaitMs: Math.min(...evaluated.map(({estimate}) => estimate.waitMs))}
				: lease(request, best);
		},
		discard: pool.discard,
		recordConnect(zone, milliseconds) {
			const known = roundTripMs(zone);
			roundTrips.set(zone, known + (roundTripWeight * (milliseconds - known)));
		},
		step: shares.step,
	};
};
