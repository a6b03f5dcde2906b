/**
 * Endpoints of one service. Keeps the state of each endpoint when the configuration or the
 * membership changes, and chooses endpoints for requests and probes.
 */
import type {Service} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import {
	type ChoiceOptions, type EndpointRequirements, createEndpointChoice, isLeaving,
} from './endpointChoice.js';
import {type EndpointTracker, type LeavingSource, createEndpointTracker} from './endpointTracker.js';
import type {LocalEntry, LocalityTier} from './localityOrder.js';
import type {EjectionReason, HealthState} from './outlierDetection.js';
import {type MeanUtilization, createMeanUtilization} from './reportedLoad.js';
import {type EntryLocation, divideSlots} from './slotOwnership.js';

/** Configuration of a pool: the service and the parts of the deployment that affect its endpoints. */
export type PoolConfiguration = {
	readonly service: Service;
	/** Entries that share the endpoints. */
	readonly entries: readonly EntryLocation[];
	/** Region of an availability zone; `undefined` when the zone is not configured. */
	readonly regionOf: (zone: string) => string | undefined;
	/** Ids of the endpoints that operators drain immediately. */
	readonly drained: ReadonlySet<string>;
	/** Availability zones that are being drained, immediately or under the shift caps. */
	readonly draining: ReadonlySet<string>;
};

/** Endpoints of one service and their state. */
export type EndpointPool = {
	readonly configure: (configuration: PoolConfiguration) => void;
	readonly trackers: () => readonly EndpointTracker[];
	readonly find: (endpointId: string) => EndpointTracker | undefined;
	/** Chooses an endpoint with a free slot; `undefined` when there is none. */
	readonly choose: (requirements: EndpointRequirements) => EndpointTracker | undefined;
	/** Finds an idle ejected endpoint in a request's tiers whose probe is due, and records the probe. */
	readonly chooseProbe: (tiers: readonly LocalityTier[]) => EndpointTracker | undefined;
	/** Sets, for one source, which endpoints are leaving. */
	readonly setLeaving: (source: LeavingSource, isLeaving: (endpointId: string) => boolean) => void;
	/** Number of slots of healthy endpoints that this entry owns. */
	readonly ownedSlots: () => number;
	/** Mean utilization of the endpoints according to their reports. */
	readonly meanUtilization: MeanUtilization;
	/** Whether any endpoint accepts new requests. */
	readonly hasUsableEndpoint: () => boolean;
};

/** Dependencies of an endpoint pool. */
export type PoolOptions = Omit<ChoiceOptions, 'preventsBorrowing'> & {
	readonly clock: Clock;
	readonly self: LocalEntry;
	readonly onHealthChange: (endpointId: string, state: HealthState, reason: EjectionReason | undefined) => void;
};

/**
 * Creates the endpoint pool of a service.
 *
 * @param options - Clock, this entry and the dependencies of the endpoint choice.
 * @returns The pool, without endpoints before `configure`.
 */
export const createEndpointPool = (options: PoolOptions): EndpointPool => {
	const {clock, self, slotDivision, onHealthChange} = options;
	const meanUtilization = createMeanUtilization();
	const choose = createEndpointChoice({...options, preventsBorrowing: meanUtilization.preventsBorrowing});
	let byId: ReadonlyMap<string, EndpointTracker> = new Map();
	let trackers: readonly EndpointTracker[] = [];

	const trackerFor = (endpoint: Service['endpoints'][number], regionOf: PoolConfiguration['regionOf']): EndpointTracker => {
		const existing = byId.get(endpoint.id);
		if (existing !== undefined && JSON.stringify(existing.endpoint) === JSON.stringify(endpoint)) {
			return existing;
		}

		return createEndpointTracker({
			clock,
			endpoint,
			region: regionOf(endpoint.availabilityZone) ?? '',
			isNew: byId.size > 0,
			meanUtilization,
			onHealthChange(state, reason) {
				onHealthChange(endpoint.id, state, reason);
			},
		});
	};

	const setOwned = ({entries, regionOf}: PoolConfiguration) => {
		const endpoints = trackers.map(({endpoint}) => endpoint);
		const owned = divideSlots(self.id, entries, endpoints, regionOf);
		for (const tracker of trackers) {
			const {id, slots} = tracker.endpoint;
			tracker.setOwned(slotDivision === 'shared' ? {slots, longSlots: slots} : owned.get(id) ?? {slots: 0, longSlots: 0});
		}
	};

	return {
		configure(configuration) {
			trackers = configuration.service.endpoints.map(endpoint => trackerFor(endpoint, configuration.regionOf));
			byId = new Map(trackers.map(tracker => [tracker.endpoint.id, tracker]));
			for (const tracker of trackers) {
				tracker.setLeaving('drain', configuration.drained.has(tracker.endpoint.id));
			}

			setOwned(configuration);
		},
		trackers: () => trackers,
		find: endpointId => byId.get(endpointId),
		choose,
		chooseProbe(tiers) {
			if (!trackers.some(({health}) => health.isProbeDue())) {
				return undefined;
			}

			const probeTarget = tiers
				.flatMap(tier => tier.trackers)
				.find(tracker => tracker.health.isProbeDue() && tracker.inFlight() === 0 && !isLeaving(tracker));
			probeTarget?.health.recordProbe();
			return probeTarget;
		},
		setLeaving(source, isEndpointLeaving) {
			for (const tracker of trackers) {
				tracker.setLeaving(source, isEndpointLeaving(tracker.endpoint.id));
			}
		},
		ownedSlots: () => trackers.reduce((total, tracker) => total + (tracker.health.state() === 'healthy' ? tracker.owned().slots : 0), 0),
		meanUtilization,
		hasUsableEndpoint: () => trackers.some(tracker => !isLeaving(tracker)),
	};
};
