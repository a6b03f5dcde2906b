/**
 * The endpoints that may be used, from their registrations.
 *
 * Registrations lapse while the table is away, though the endpoints live; they register again as soon
 * as it is back. So a registration that is missing right after an outage, or together with many
 * others of its service, is held for a short time before its endpoint counts as gone.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {DiscoveredEndpoint} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import type {Result} from 'neverthrow';
import type {ReplicaChange} from './rowReplica.js';

/** Reads a registration; the error says what is wrong with it. */
export type DecodeEndpoint = (key: string, value: string) => Result<DiscoveredEndpoint, string>;

/** An endpoint with what this process knows of its registration. */
export type RegisteredEndpoint = {
	readonly endpoint: DiscoveredEndpoint;
	/** Monotonic milliseconds when this start of the endpoint was first seen. */
	readonly firstSeenAtMs: number;
	/** Monotonic milliseconds until which the endpoint is cold; 0 when it is warm. */
	readonly coldUntilMs: number;
};

/** The endpoints that registrations name. */
export type EndpointDirectory = {
	/** Takes in changed registrations. */
	readonly apply: (change: ReplicaChange) => void;
	/** Drops endpoints whose held registrations did not come back; returns whether there were any. */
	readonly dropLapsed: () => boolean;
	/** Endpoints by id, draining ones included. */
	readonly endpoints: () => ReadonlyMap<string, RegisteredEndpoint>;
};

/** Parameters of the directory. */
export type EndpointDirectoryOptions = {
	readonly decode: DecodeEndpoint;
	readonly clock: Clock;
	readonly log: Logger;
};

/** How long a registration that lapsed in an outage may be missing: endpoints register again within about 2 s. */
const returnMs = 2000;
/** Age of the copy that counts as an outage: above the wait of one reading with its delay. */
const outageMs = 4500;
/** Share of a service's endpoints whose registrations vanish at once only when the table lost them. */
const massRemovalShare = 0.4;
/** Below this many, a share says nothing. */
const massRemovalCount = 3;

/**
 * Creates an empty directory.
 *
 * @param options - Decoder, clock and log.
 * @returns The directory.
 */
export const createEndpointDirectory = ({decode, clock, log}: EndpointDirectoryOptions): EndpointDirectory => {
	const registered = new Map<string, RegisteredEndpoint>();
	/** Ids of endpoints whose registration is missing, with the time until which it may come back. */
	const missing = new Map<string, number>();

	const isOlder = (endpoint: DiscoveredEndpoint, known: DiscoveredEndpoint): boolean => endpoint.startedAtUnixMs < known.startedAtUnixMs
		|| (endpoint.startedAtUnixMs === known.startedAtUnixMs && endpoint.sequence < known.sequence);

	const register = (key: string, value: string) => {
		const decoded = decode(key, value);
		if (decoded.isErr()) {
			log(discoveryEvents.registrationRejected, {key, reason: decoded.error});
			return;
		}

		const endpoint = decoded.value;
		const known = registered.get(endpoint.id);
		if (known !== undefined && isOlder(endpoint, known.endpoint)) {
			log(discoveryEvents.registrationRejected, {key, reason: `it is older than the known one (sequence ${endpoint.sequence} after ${known.endpoint.sequence})`});
			return;
		}

		missing.delete(endpoint.id);
		const isSameStart = known?.endpoint.startedAtUnixMs === endpoint.startedAtUnixMs;
		registered.set(endpoint.id, {
			endpoint,
			firstSeenAtMs: isSameStart ? known.firstSeenAtMs : clock(),
			coldUntilMs: endpoint.coldForMs > 0 ? clock() + endpoint.coldForMs : 0,
		});
		if (!isSameStart || known.endpoint.state !== endpoint.state) {
			log(discoveryEvents.endpointChanged, {
				endpoint: endpoint.id, service: endpoint.service, zone: endpoint.availabilityZone, state: endpoint.state, coldForMs: endpoint.coldForMs,
			});
		}
	};

	const forget = (id: string, reason: string) => {
		missing.delete(id);
		if (registered.delete(id)) {
			log(discoveryEvents.endpointGone, {endpoint: id, reason});
		}
	};

	/** Ids among the removed ones that likely lapsed together, service by service. */
	const lapsedTogether = (removedIds: readonly string[]): Set<string> => {
		const lapsed = new Set<string>();
		const services = new Set(removedIds.map(id => registered.get(id)?.endpoint.service));
		for (const service of services) {
			const removed = removedIds.filter(id => registered.get(id)?.endpoint.service === service);
			const total = [...registered.values()].filter(({endpoint}) => endpoint.service === service).length;
			if (removed.length >= massRemovalCount && removed.length >= total * massRemovalShare) {
				for (const id of removed) {
					lapsed.add(id);
				}
			}
		}

		return lapsed;
	};

	return {
		apply({rows, staleForMs}) {
			const removedIds = rows.filter(({key, value}) => value === undefined && registered.has(key)).map(({key}) => key);
			const lapsed = lapsedTogether(removedIds);
			for (const {key, value} of rows) {
				const known = registered.get(key)?.endpoint;
				if (value !== undefined) {
					register(key, value);
				} else if (known?.state === 'ready' && (staleForMs >= outageMs || lapsed.has(key))) {
					missing.set(key, clock() + returnMs);
					log(discoveryEvents.registrationMissing, {endpoint: key, staleForMs: Math.round(staleForMs)});
				} else {
					forget(key, 'its registration was removed');
				}
			}
		},
		dropLapsed() {
			const gone = [...missing].filter(([, untilMs]) => untilMs <= clock()).map(([id]) => id);
			for (const id of gone) {
				forget(id, 'its registration did not come back');
			}

			return gone.length > 0;
		},
		endpoints: () => registered,
	};
};
