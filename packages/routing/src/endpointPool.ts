/**
 * Endpoints of one service: keeps what is known of each through changes of the configuration
 * and of the membership, and gives out leases on their slots.
 */
import type {Service} from '@filbertwell/types/intent';
import type {Clock} from '@filbertwell/utils/clock';
import {
	type ChoiceOptions, type Need, createEndpointChoice, isLeaving,
} from './endpointChoice.js';
import {type EndpointTracker, type LeavingSignal, createEndpointTracker} from './endpointTracker.js';
import type {Self, Tier} from './localityOrder.js';
import type {EjectionReason, HealthState} from './outlierDetection.js';
import {type MeanUse, createMeanUse} from './reportedLoad.js';
import {type SharingEntry, divideSlots} from './slotOwnership.js';

/** What the pool is made from. */
export type PoolLayout = {
	readonly service: Service;
	readonly entries: readonly SharingEntry[];
	readonly regionOf: (zone: string) => string | undefined;
	/** Endpoints that the operators are draining. */
	readonly drained: ReadonlySet<string>;
	/** Availability zones that are being drained, at once or step by step. */
	readonly draining: ReadonlySet<string>;
};

/** Endpoints of one service. */
export type EndpointPool = {
	readonly configure: (layout: PoolLayout) => void;
	readonly trackers: () => readonly EndpointTracker[];
	readonly find: (endpointId: string) => EndpointTracker | undefined;
	readonly choose: (need: Need) => EndpointTracker | undefined;
	/** Finds an ejected endpoint that is due for a probe, among those of a request's tiers. */
	readonly chooseProbe: (tiers: readonly Tier[]) => EndpointTracker | undefined;
	readonly setLeaving: (signal: LeavingSignal, isLeaving: (endpointId: string) => boolean) => void;
	/** Slots of healthy endpoints that this entry owns. */
	readonly ownedSlots: () => number;
	/** Mean use of the endpoints by their reports. */
	readonly meanUse: MeanUse;
	/** Whether any endpoint takes new work. */
	readonly hasUsable: () => boolean;
};

/** Parameters of a pool. */
export type PoolOptions = Omit<ChoiceOptions, 'isTooFull'> & {
	readonly clock: Clock;
	readonly self: Self;
	readonly onHealthChange: (endpointId: string, state: HealthState, reason: EjectionReason | undefined) => void;
};

/**
 * Creates a pool.
 *
 * @param options - Clock, choice and this entry.
 * @returns The pool, empty before `configure`.
 */
export const createEndpointPool = (options: PoolOptions): EndpointPool => {
	const {clock, self, division, onHealthChange} = options;
	const meanUse = createMeanUse();
	const choose = createEndpointChoice({...options, isTooFull: meanUse.isTooFull});
	let byId: ReadonlyMap<string, EndpointTracker> = new Map();
	let trackers: readonly EndpointTracker[] = [];

	const trackerFor = (endpoint: Service['endpoints'][number], regionOf: PoolLayout['regionOf']): EndpointTracker => {
		const known = byId.get(endpoint.id);
		if (known !== undefined && JSON.stringify(known.endpoint) === JSON.stringify(endpoint)) {
			return known;
		}

		return createEndpointTracker({
			clock,
			endpoint,
			region: regionOf(endpoint.availabilityZone) ?? '',
			isNew: byId.size > 0,
			meanUse,
			onHealthChange(state, reason) {
				onHealthChange(endpoint.id, state, reason);
			},
		});
	};

	const setOwned = ({entries, regionOf}: PoolLayout) => {
		const endpoints = trackers.map(({endpoint}) => endpoint);
		const owned = divideSlots(self.id, entries, endpoints, regionOf);
		for (const tracker of trackers) {
			const {id, slots} = tracker.endpoint;
			tracker.setOwned(division === 'shared' ? {slots, forLong: slots} : owned.get(id) ?? {slots: 0, forLong: 0});
		}
	};

	return {
		configure(layout) {
			trackers = layout.service.endpoints.map(endpoint => trackerFor(endpoint, layout.regionOf));
			byId = new Map(trackers.map(tracker => [tracker.endpoint.id, tracker]));
			for (const tracker of trackers) {
				tracker.setLeaving('drain', layout.drained.has(tracker.endpoint.id));
			}

			setOwned(layout);
		},
		trackers: () => trackers,
		find: endpointId => byId.get(endpointId),
		choose,
		chooseProbe(tiers) {
			if (!trackers.some(({health}) => health.probeIsDue())) {
				return undefined;
			}

			const due = tiers
				.flatMap(tier => tier.trackers)
				.find(tracker => tracker.health.probeIsDue() && tracker.inFlight() === 0 && !isLeaving(tracker));
			due?.health.recordProbe();
			return due;
		},
		setLeaving(signal, isLeavingNow) {
			for (const tracker of trackers) {
				tracker.setLeaving(signal, isLeavingNow(tracker.endpoint.id));
			}
		},
		ownedSlots: () => trackers.reduce((total, tracker) => total + (tracker.health.state() === 'healthy' ? tracker.owned().slots : 0), 0),
		meanUse,
		hasUsable: () => trackers.some(tracker => !isLeaving(tracker)),
	};
};
