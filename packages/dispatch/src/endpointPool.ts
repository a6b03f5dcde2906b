/**
 * Tracks the registered endpoints of all services and selects those that may receive requests.
 */
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {trackEndpoint, type TrackedEndpoint} from './trackedEndpoint.js';

/** Tracked endpoints of all services. */
export type EndpointPool = {
	/** Replaces the registered endpoints, by id, and the zones that receive no requests. */
	readonly configure: (registered: ReadonlyMap<string, RegisteredEndpoint>, evacuated: ReadonlySet<AvailabilityZoneName>) => void;
	/** Endpoints of a service that may receive requests, by region; ejected and cold ones are included. */
	readonly usable: (service: string) => ReadonlyMap<RegionName, readonly TrackedEndpoint[]>;
	/** Increases with each change of the usable endpoints. */
	readonly version: () => number;
	/** Excludes an endpoint until it registers a new start. */
	readonly discard: (endpointId: string) => void;
	/** Region of a zone; the name of the zone if the region is unknown. */
	readonly regionOf: (zone: AvailabilityZoneName) => RegionName;
};

/**
 * Time for which the endpoints of a zone count as cold after the evacuation of the zone ends. They may have become cold
 * before their registrations show it: an endpoint registers the change within one heartbeat interval plus its delay, or
 * within about 2 s after an outage of the store.
 */
const reinstatedColdMs = 2500;

const noEndpoints: ReadonlyMap<RegionName, readonly TrackedEndpoint[]> = new Map();

/**
 * Creates an empty pool.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param regionOfZone - Returns the region of each availability zone.
 * @returns The pool.
 */
export const createEndpointPool = (clock: Clock, regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>): EndpointPool => {
	const tracked = new Map<string, TrackedEndpoint>();
	/** Start time of each discarded endpoint; a registration with another start time makes the endpoint usable again. */
	const discarded = new Map<string, number>();
	let usableByService = new Map<string, Map<RegionName, TrackedEndpoint[]>>();
	let version = 0;
	let evacuatedZones: ReadonlySet<AvailabilityZoneName> = new Set();

	const isUsable = (candidate: TrackedEndpoint): boolean => {
		const {endpoint} = candidate.registered();
		return endpoint.state === 'ready' && !evacuatedZones.has(endpoint.availabilityZone) && discarded.get(endpoint.id) !== endpoint.startedAtUnixMs;
	};

	const regionOf = (zone: AvailabilityZoneName): RegionName => regionOfZone().get(zone) ?? zone;

	const rebuildUsable = () => {
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
			const reinstatedZones = new Set([...evacuatedZones].filter(zone => !evacuated.has(zone)));
			// Copied, because the caller may modify its set later.
			evacuatedZones = new Set(evacuated);
			for (const id of tracked.keys()) {
				if (!registered.has(id)) {
					tracked.delete(id);
					discarded.delete(id);
				}
			}

			for (const [id, registration] of registered) {
				const existing = tracked.get(id);
				if (existing?.registered().endpoint.startedAtUnixMs === registration.endpoint.startedAtUnixMs) {
					existing.update(registration);
				} else {
					tracked.set(id, trackEndpoint(clock, registration));
				}
			}

			for (const trackedEndpoint of tracked.values()) {
				if (reinstatedZones.has(trackedEndpoint.registered().endpoint.availabilityZone)) {
					trackedEndpoint.assumeCold(reinstatedColdMs);
				}
			}

			rebuildUsable();
		},
		usable: service => usableByService.get(service) ?? noEndpoints,
		version: () => version,
		discard(id) {
			const existing = tracked.get(id);
			if (existing !== undefined) {
				discarded.set(id, existing.registered().endpoint.startedAtUnixMs);
				rebuildUsable();
			}
		},
		regionOf,
	};
};
