/**
 * Maintains the set of registered endpoints.
 *
 * Registrations expire during an outage of the table although the endpoints still run; the endpoints register again
 * when the table is available. A registration that is missing directly after an outage, or together with many others
 * of its service, is therefore kept for a short time before its endpoint is removed.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {DiscoveredEndpoint} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import type {Result} from 'neverthrow';
import type {ReplicaChange} from './rowReplica.js';

/** Decodes a registration from the key and the value of its row; the error describes why it is invalid. */
export type DecodeEndpoint = (key: string, value: string) => Result<DiscoveredEndpoint, string>;

/** An endpoint with the times that this process derived from its registrations. */
export type RegisteredEndpoint = {
	readonly endpoint: DiscoveredEndpoint;
	/** Time at which this start of the endpoint was first seen, in monotonic milliseconds. */
	readonly firstSeenAtMs: number;
	/** Time until which the endpoint is cold, in monotonic milliseconds; 0 when its registration says that it is warm. */
	readonly coldUntilMs: number;
};

/** Endpoints with a valid registration, including expired ones that may still be renewed. */
export type EndpointDirectory = {
	/** Applies changed and removed registrations. Invalid and outdated ones are logged and ignored. */
	readonly apply: (change: ReplicaChange) => void;
	/** Removes the endpoints whose expired registrations were not renewed in time; returns whether there were any. */
	readonly removeExpired: () => boolean;
	/** Endpoints by id, including draining ones. The map is updated in place. */
	readonly endpoints: () => ReadonlyMap<string, RegisteredEndpoint>;
};

export type EndpointDirectoryOptions = {
	readonly decode: DecodeEndpoint;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Time in which an expired registration may be renewed: endpoints register again within about 2 s after an outage. */
const reregistrationMs = 2000;
/** Age of the replica from which an outage of the table is assumed. It is above the longest wait of one read plus its delay. */
const outageAgeMs = 4500;
/** If at least this share of the registrations of a service is removed at once, they are assumed to have expired. */
const massRemovalShare = 0.4;
/** Minimum number of removals for this assumption; with fewer, the share is not significant. */
const massRemovalCount = 3;

/**
 * Creates a directory without endpoints.
 *
 * @param options - Decoder of registrations, monotonic clock and log.
 * @returns The directory.
 */
export const createEndpointDirectory = ({decode, clock, log}: EndpointDirectoryOptions): EndpointDirectory => {
	const registered = new Map<string, RegisteredEndpoint>();
	/** Time until which a missing registration may be renewed, by endpoint id. */
	const missingUntilMs = new Map<string, number>();

	const isOlder = (endpoint: DiscoveredEndpoint, current: DiscoveredEndpoint): boolean => endpoint.startedAtUnixMs < current.startedAtUnixMs
		|| (endpoint.startedAtUnixMs === current.startedAtUnixMs && endpoint.sequence < current.sequence);

	/** Whether the endpoint says that it leaves. That holds for its start also if another writer set a higher sequence. */
	const isLeaving = (endpoint: DiscoveredEndpoint, current: DiscoveredEndpoint): boolean => endpoint.startedAtUnixMs === current.startedAtUnixMs && endpoint.state === 'draining';

	const register = (key: string, value: string) => {
		const decoded = decode(key, value);
		if (decoded.isErr()) {
			log(discoveryEvents.registrationRejected, {key, reason: decoded.error});
			return;
		}

		const current = registered.get(decoded.value.id);
		const endpoint = current !== undefined && isLeaving(decoded.value, current.endpoint)
			? {...decoded.value, sequence: Math.max(decoded.value.sequence, current.endpoint.sequence)}
			: decoded.value;
		if (current !== undefined && isOlder(endpoint, current.endpoint)) {
			log(discoveryEvents.registrationRejected, {key, reason: `the registration is older than the current one (sequence ${endpoint.sequence} after ${current.endpoint.sequence})`});
			return;
		}

		missingUntilMs.delete(endpoint.id);
		const isSameStart = current?.endpoint.startedAtUnixMs === endpoint.startedAtUnixMs;
		registered.set(endpoint.id, {
			endpoint,
			firstSeenAtMs: isSameStart ? current.firstSeenAtMs : clock(),
			coldUntilMs: endpoint.coldForMs > 0 ? clock() + endpoint.coldForMs : 0,
		});
		if (!isSameStart || current.endpoint.state !== endpoint.state) {
			log(discoveryEvents.endpointChanged, {
				endpoint: endpoint.id, service: endpoint.service, zone: endpoint.availabilityZone, state: endpoint.state, coldForMs: endpoint.coldForMs,
			});
		}
	};

	const removeEndpoint = (id: string, reason: string) => {
		missingUntilMs.delete(id);
		if (registered.delete(id)) {
			log(discoveryEvents.endpointGone, {endpoint: id, reason});
		}
	};

	/** Returns the removed ids whose registrations probably expired together, evaluated separately for each service. */
	const findMassExpirations = (removedIds: readonly string[]): Set<string> => {
		const expired = new Set<string>();
		const services = new Set(removedIds.map(id => registered.get(id)?.endpoint.service));
		for (const service of services) {
			const removed = removedIds.filter(id => registered.get(id)?.endpoint.service === service);
			const total = [...registered.values()].filter(({endpoint}) => endpoint.service === service).length;
			if (removed.length >= massRemovalCount && removed.length >= total * massRemovalShare) {
				for (const id of removed) {
					expired.add(id);
				}
			}
		}

		return expired;
	};

	return {
		apply({rows, staleForMs}) {
			const removedIds = rows.filter(({key, value}) => value === undefined && registered.has(key)).map(({key}) => key);
			const expired = findMassExpirations(removedIds);
			for (const {key, value} of rows) {
				const current = registered.get(key)?.endpoint;
				if (value !== undefined) {
					register(key, value);
				} else if (current?.state === 'ready' && (staleForMs >= outageAgeMs || expired.has(key))) {
					missingUntilMs.set(key, clock() + reregistrationMs);
					log(discoveryEvents.registrationMissing, {endpoint: key, staleForMs: Math.round(staleForMs)});
				} else {
					removeEndpoint(key, 'the registration was removed');
				}
			}
		},
		removeExpired() {
			const expiredIds = [...missingUntilMs].filter(([, untilMs]) => untilMs <= clock()).map(([id]) => id);
			for (const id of expiredIds) {
				removeEndpoint(id, 'the registration expired and was not renewed in time');
			}

			return expiredIds.length > 0;
		},
		endpoints: () => registered,
	};
};
