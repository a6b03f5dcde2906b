/**
 * Chooses an endpoint for each request and refuses requests that no endpoint can answer in time.
 */
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {PlannedService} from '@filbertwell/types/trafficPlan';
import type {Clock} from '@filbertwell/utils/clock';
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {Random} from '@filbertwell/utils/random';
import {affinityOrder} from './affinityOrder.js';
import {createArrivalMix} from './arrivalMix.js';
import {createColdRateLimiter} from './coldRateLimiter.js';
import {estimateCompletion} from './completionEstimate.js';
import type {DispatchedRequest, DispatchRefusal, EndpointLease} from './dispatchedRequest.js';
import {
	type Candidate, chooseCandidate, isHealthyAndFree, type TimeBudget, timeBudgetOf,
} from './endpointChoice.js';
import {createEndpointPool} from './endpointPool.js';
import {createKeyAffinities, keyOf, type KeyAffinity} from './keyAffinity.js';
import {createUntriedEndpoints} from './untriedEndpoints.js';
import {createOverflowBudget, type OverflowBudget} from './overflowBudget.js';
import {regionUsageOf} from './regionUsage.js';
import {createServiceShares} from './serviceShares.js';
import type {SendResult, TrackedEndpoint} from './trackedEndpoint.js';
import {createProcessingTimeEstimate, type ProcessingTimeEstimate} from './processingTimeEstimate.js';

/** Region and request rate of an instance. */
export type InstanceSummary = {
	readonly id: string;
	readonly region: RegionName;
	readonly requestsPerSecond: number;
};

/** Dependencies of the dispatcher. The functions return current values and are called repeatedly. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly self: {readonly id: string; readonly region: RegionName; readonly availabilityZone: AvailabilityZoneName};
	readonly regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>;
	/** All serving instances, including this one. */
	readonly instances: () => readonly InstanceSummary[];
	/** Whether enough time has passed since the start of this instance to discover its peers. */
	readonly hasDiscoveredPeers: () => boolean;
	readonly serviceOf: (name: string) => PlannedService | undefined;
	/** Largest fraction of the requests of a region that may change their serving region within 2 s, from 0 to 1. */
	readonly largestShift: () => number;
	readonly random: Random;
};

/** Chooses endpoints and tracks their load, speed and failures. */
export type Dispatcher = {
	/** Replaces the registered endpoints, by id, and the zones that receive no requests. */
	readonly configure: (registered: ReadonlyMap<string, RegisteredEndpoint>, evacuated: ReadonlySet<AvailabilityZoneName>) => void;
	/** Counts a request to a service. Called once for each request, before its first send. */
	readonly recordArrival: (service: string) => void;
	/** Chooses an endpoint for one send of a request, or refuses the request. */
	readonly acquire: (request: DispatchedRequest) => EndpointLease | DispatchRefusal;
	/** Excludes an endpoint, whose address another process uses now, until it registers a new start. */
	readonly discard: (endpointId: string) => void;
	/** Records how long it took to open a connection to an endpoint of a zone, in milliseconds. */
	readonly recordConnectTime: (zone: AvailabilityZoneName, milliseconds: number) => void;
	/** Updates the shares of the regions for all services. Must be called several times a second. */
	readonly updateRegionShares: () => void;
};

/** Assumed round trips until connections have been measured. */
const initialSameRegionRoundTripMs = 2;
const initialOtherRegionRoundTripMs = 60;
const roundTripSampleWeight = 0.2;
/** Probability from which the time of an answer counts as a sample of the warm processing time. */
const warmProbabilityThreshold = 0.85;
/** Mean processing time of a service before its first answer. */
const initialMeanProcessingMs = 300;
/** Weight of a new sample in the moving average of the processing time of a service. */
const meanProcessingSampleWeight = 0.04;
/** Expected wait for a service without endpoints: about the time in which endpoints register again. */
const noEndpointWaitMs = 1000;
const millisecondsPerSecond = 1000;

/**
 * Creates a dispatcher without endpoints.
 *
 * @param options - Location of this instance, its peers and the settings of the services.
 * @returns The dispatcher. It refuses all requests until endpoints are configured.
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, self, instances, hasDiscoveredPeers, serviceOf, regionOfZone, largestShift, random} = options;
	const pool = createEndpointPool(clock, regionOfZone);
	const coldRateLimiter = createColdRateLimiter({
		clock, self: self.id, instances: () => instances().map(({id}) => id), hasDiscoveredPeers,
	});
	const untriedEndpoints = createUntriedEndpoints(clock, self.id, () => instances().filter(({region}) => region === self.region).map(({id}) => id));
	const roundTrips = new Map<AvailabilityZoneName, number>();
	const processingTimes = new Map<string, ProcessingTimeEstimate>();
	const meanProcessingTimes = new Map<string, number>();
	const arrivals = createArrivalMix(clock);
	const overflowBudgets = new Map<string, OverflowBudget>();

	const overflowBudgetOf = (service: string): OverflowBudget => {
		const budget = overflowBudgets.get(service) ?? createOverflowBudget(clock, largestShift);
		overflowBudgets.set(service, budget);
		return budget;
	};

	const meanProcessingMsOf = (service: string): number => meanProcessingTimes.get(service) ?? initialMeanProcessingMs;

	const processingTimeOf = ({name, latencyTargetMs}: DispatchedRequest['route']): ProcessingTimeEstimate => {
		const estimate = processingTimes.get(name) ?? createProcessingTimeEstimate(latencyTargetMs);
		processingTimes.set(name, estimate);
		return estimate;
	};

	const roundTripMs = (zone: AvailabilityZoneName): number => roundTrips.get(zone)
		?? (pool.regionOf(zone) === self.region ? initialSameRegionRoundTripMs : initialOtherRegionRoundTripMs);

	const shares = createServiceShares({
		clock,
		localRegion: self.region,
		instances,
		// Other instances report only their total request rate; the same mix of services is assumed for them.
		slotsPerRequest: service => arrivals.shareOf(service) * meanProcessingMsOf(service) / millisecondsPerSecond,
		usages: service => [...pool.usable(service)].map(([region, endpoints]) => regionUsageOf(region, endpoints)),
		largestShift,
	});

	const mayServe = (candidate: TrackedEndpoint, {triedEndpointIds}: DispatchedRequest): boolean => {
		const {id, service} = candidate.registered().endpoint;
		return !triedEndpointIds.has(id) && !candidate.isEjected()
			&& (!candidate.isCold() || coldRateLimiter.maySend(id, serviceOf(service)?.coldRequestsPerSecond ?? 1));
	};

	const keyAffinities = createKeyAffinities(pool, mayServe);

	/** Regions in the order of preference for a request. A key keeps its region as long as the shares do not change. */
	const regionOrder = (request: DispatchedRequest): RegionName[] => {
		const current = shares.of(request.service);
		// A region has no share until the next update after its first endpoint appears; a weight of 0 puts it last.
		const regions = new Set([...current.keys(), ...pool.usable(request.service).keys()]);
		return affinityOrder(keyOf(request) ?? String(random()), [...regions].map(region => ({id: region, weight: current.get(region) ?? 0})));
	};

	const evaluate = (request: DispatchedRequest, affinity: KeyAffinity, endpoints: readonly TrackedEndpoint[]): Candidate[] => {
		const processingTime = processingTimeOf(request.route);
		const warmMs = processingTime.warmMs();
		const coldMs = processingTime.coldMs();
		const meanProcessingMs = meanProcessingMsOf(request.service);
		return endpoints.map(endpoint => {
			const warmProbability = keyAffinities.warmProbability(endpoint, affinity);
			const isOverflow = endpoint === affinity.overflowEndpoint;
			const isAffinity = endpoint === affinity.affinityEndpoint;
			const estimate = estimateCompletion({
				endpoint,
				roundTripMs: roundTripMs(endpoint.registered().endpoint.availabilityZone),
				warmMs,
				coldMs,
				warmProbability,
				meanProcessingMs,
				includesUsualLoad: affinity.overflowEndpoint !== undefined,
			});
			return {
				endpoint,
				hasAffinity: affinity.key === undefined || isAffinity,
				warmth: isOverflow ? 'unknown' : (warmProbability >= warmProbabilityThreshold ? 'warm' : 'cold'),
				affinityUse: isOverflow || isAffinity ? {service: request.service, kind: isOverflow ? 'overflow' : 'affinity'} : undefined,
				estimate,
			};
		});
	};

	/** Returns the candidates of a region: only the affinity endpoint of the key if it is healthy and has a free slot, otherwise all. */
	const evaluateRegion = (request: DispatchedRequest, region: RegionName, budget: TimeBudget): Candidate[] => {
		const affinity = keyAffinities.of(request, region);
		const [affinityCandidate] = affinity.affinityEndpoint === undefined ? [] : evaluate(request, affinity, [affinity.affinityEndpoint]);
		return affinityCandidate !== undefined && isHealthyAndFree(affinityCandidate, budget)
			? [affinityCandidate]
			: evaluate(request, affinity, affinity.endpoints.filter(endpoint => mayServe(endpoint, request)));
	};

	/** Chooses in the first region with candidates. If none of them is acceptable, chooses in the other regions within the overflow budget. */
	const choose = (request: DispatchedRequest): {readonly best: Candidate | undefined; readonly evaluated: readonly Candidate[]} => {
		const {route, service} = request;
		const isAllowed = (region: RegionName) => route.allowedRegions.length === 0 || route.allowedRegions.includes(region);
		const regions = regionOrder(request).filter(region => isAllowed(region));
		const budget = timeBudgetOf(request, clock(), processingTimeOf(route).isKnown());
		const untriedEndpoint = route.kind === 'idempotent' && isAllowed(self.region)
			? untriedEndpoints.findToTry(pool.usable(service).get(self.region) ?? [])
			: undefined;
		if (untriedEndpoint !== undefined && mayServe(untriedEndpoint, request)) {
			const evaluated = evaluate(request, keyAffinities.of(request, self.region), [untriedEndpoint]);
			return {best: evaluated[0], evaluated};
		}

		let regionCandidates: Candidate[] = [];
		let evaluatedRegions = 0;
		while (regionCandidates.length === 0 && evaluatedRegions < regions.length) {
			regionCandidates = evaluateRegion(request, regions[evaluatedRegions]!, budget);
			evaluatedRegions += 1;
		}

		const regionalChoice = chooseCandidate(regionCandidates, budget);
		if (regionalChoice !== undefined || evaluatedRegions === regions.length) {
			return {best: regionalChoice, evaluated: regionCandidates};
		}

		const remoteCandidates = regions.slice(evaluatedRegions).flatMap(region => evaluateRegion(request, region, budget));
		const remoteChoice = chooseCandidate(remoteCandidates, {...budget, maximumWaitMs: 0});
		return {best: remoteChoice !== undefined && overflowBudgetOf(service).tryTake() ? remoteChoice : undefined, evaluated: [...regionCandidates, ...remoteCandidates]};
	};

	const recordProcessingTime = (request: DispatchedRequest, {endpoint, warmth, estimate}: Candidate, tookMs: number): number | undefined => {
		const zone = endpoint.registered().endpoint.availabilityZone;
		const processingMs = Math.max(1, tookMs - roundTripMs(zone) - estimate.waitMs);
		const previousMs = meanProcessingTimes.get(request.service) ?? processingMs;
		meanProcessingTimes.set(request.service, previousMs + (meanProcessingSampleWeight * (processingMs - previousMs)));
		if (estimate.waitMs > 0 || warmth === 'unknown') {
			return undefined;
		}

		processingTimeOf(request.route).record(warmth === 'warm', processingMs / endpoint.slowdown());
		return processingMs / (estimate.processingMs / endpoint.slowdown());
	};

	/** Records from the load report of an answer whether the key was warm. With a queue, the time of the answer does not show it. */
	const recordWarmth = ({route}: DispatchedRequest, {endpoint, affinityUse, estimate}: Candidate, tookMs: number, {waiting, slowdown}: EndpointLoad) => {
		if (affinityUse !== undefined && waiting === 0 && estimate.waitMs === 0) {
			const processingMs = tookMs - roundTripMs(endpoint.registered().endpoint.availabilityZone);
			const {warmMs, coldMs} = processingTimeOf(route);
			keyAffinities.recordProcessingTime(affinityUse, processingMs / slowdown, warmMs(), coldMs());
		}
	};

	const lease = (request: DispatchedRequest, chosen: Candidate): EndpointLease => {
		const {endpoint, estimate} = chosen;
		const {endpoint: discoveredEndpoint} = endpoint.registered();
		const inFlightRequest = endpoint.start(estimate.totalMs);
		let isEnded = false;
		let answerMs: number | undefined;
		if (endpoint.isCold()) {
			coldRateLimiter.recordSend(discoveredEndpoint.id, serviceOf(discoveredEndpoint.service)?.coldRequestsPerSecond ?? 1);
		}

		const key = keyOf(request);
		if (key !== undefined) {
			endpoint.recentKeys.add(key);
		}

		return {
			endpoint: discoveredEndpoint,
			expectedMs: estimate.totalMs,
			expectedWaitMs: estimate.waitMs,
			reportLoad(load) {
				endpoint.reportLoad(load);
				if (answerMs !== undefined) {
					recordWarmth(request, chosen, answerMs, load);
				}
			},
			end(kind) {
				if (isEnded) {
					return;
				}

				isEnded = true;
				if (kind === 'answered') {
					answerMs = clock() - inFlightRequest.startedAtMs;
				}

				const result: SendResult = kind === 'answered' ? {kind, durationRatio: recordProcessingTime(request, chosen, answerMs!)} : {kind};
				endpoint.end(inFlightRequest, result);
			},
		};
	};

	return {
		configure: pool.configure,
		recordArrival(service) {
			arrivals.record(service);
			overflowBudgetOf(service).recordRequest();
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
		recordConnectTime(zone, milliseconds) {
			const previousMs = roundTripMs(zone);
			roundTrips.set(zone, previousMs + (roundTripSampleWeight * (milliseconds - previousMs)));
		},
		updateRegionShares: shares.updateAll,
	};
};
