/**
 * The endpoints of all services that may get requests.
 */
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {trackEndpoint, type TrackedEndpoint} from './trackedEndpoint.js';

/** Endpoints by service. */
export type EndpointPool = {
	/** Takes in the registrations and the zones that get nothing. */
	readonly configure: (registered: ReadonlyMap<string, RegisteredEndpoint>, evacuated: ReadonlySet<AvailabilityZoneName>) => void;
	/** Endpoints of a service that take requests, by region. */
	readonly usable: (service: string) => ReadonlyMap<RegionName, readonly TrackedEndpoint[]>;
	/** Rises with each change of the usable endpoints. */
	readonly version: () => number;
	/** Takes an endpoint out until it registers a new start. */
	readonly discard: (endpointId: string) => void;
	readonly regionOf: (zone: AvailabilityZoneName) => RegionName;
};

/**
 * Time for which endpoints of a zone that is taken back count as cold, in milliseconds. They may have become cold while
 * nobody heard of it, and register that within a heartbeat and its delay, after an outage of the store within about 2 s.
 */
const unknownColdMs = 2500;

const noEndpoints: ReadonlyMap<RegionName, readonly TrackedEndpoint[]> = new Map();

/**
 * Creates an empty pool.
 *
 * @param clock - Monotonic milliseconds.
 * @param regionOfZone - Region of each availability zone.
 * @returns The pool.
 */
export const createEndpointPool = (clock: Clock, regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>): EndpointPool => {
	const tracked = new Map<string, TrackedEndpoint>();
	/** Start of each endpoint that was found not to be there any more. */
	const discarded = new Map<string, number>();
	let usableByService = new Map<string, Map<RegionName, TrackedEndpoint[]>>();
	let version = 0;
	let evacuatedZones: ReadonlySet<AvailabilityZoneName> = new Set();

	const isUsable = (candidate: TrackedEndpoint): boolean => {
		const {endpoint} = candidate.registered();
		return endpoint.state === 'ready' && !evacuatedZones.has(endpoint.availabilityZone) && discarded.get(endpoint.id) !== endpoint.startedAtUnixMs;
	};

	const regionOf = (zone: AvailabilityZoneName): RegionName => regionOfZone().get(zone) ?? zone;

	const arrange = () => {
		version += 1;
		usableByService = new Map();
		for (const candidate of tracked.values()) {
			if (isUsable(candidate)) {
				const {service, availabilityZone} = candidate.registered().endpoint;
				const byRegion = usableByService.get(service) ?? new Map<RegionName, TrackedEndpoint[]>();
				const list = byRegion.get(regionOf(availabilityZone)) ?? [];
				list.push(candidate);
				byRegion.set(regionOf(availabilityZone), list);
				usableByService.set(service, byRegion);
			}
		}
	};

	return {
		configure(registered, evacuated) {
			const takenBack = new Set([...evacuatedZones].filter(zone => !evacuated.has(zone)));
			// The caller may go on changing its set.
			evacuatedZones = new Set(evacuated);
			for (const id of tracked.keys()) {
				if (!registered.has(id)) {
					tracked.delete(id);
					discarded.delete(id);
				}
			}

			for (const [id, registration] of registered) {
				const known = tracked.get(id);
				if (known?.registered().endpoint.startedAtUnixMs === registration.endpoint.startedAtUnixMs) {
					known.update(registration);
				} else {
					tracked.set(id, trackEndpoint(clock, registration));
				}
			}

			for (const known of tracked.values()) {
				if (takenBack.has(known.registered().endpoint.availabilityZone)) {
					known.assumeCold(unknownColdMs);
				}
			}

			arrange();
		},
		usable: service => usableByService.get(service) ?? noEndpoints,
		version: () => version,
		discard(id) {
			const known = tracked.get(id);
			if (known !== undefined) {
				discarded.set(id, known.registered().endpoint.startedAtUnixMs);
				arrange();
			}
		},
		regionOf,
	};
};
