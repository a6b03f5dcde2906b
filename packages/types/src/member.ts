/**
 * Processes of the system as they see each other.
 */
import type {AvailabilityZoneName, RegionName, SocketAddress} from './place.js';

/** Where a process stands in its life. Only a `serving` member appears in look-ups. */
export type MemberState = 'starting' | 'serving' | 'leaving';

/** What a member is for. */
export type MemberRole = 'entry' | 'lookup';

/** Whether a member's heartbeats arrive. A `suspect` member is kept while the platform lists it. */
export type MemberHealth = 'alive' | 'suspect';

/** Load of an entry in a form small enough for heartbeats. */
export type LoadSummary = {
	readonly inFlight: number;
	readonly queued: number;
	/** Requests that arrived in the last second. */
	readonly requestsPerSecond: number;
};

/** A process of the system. */
export type Member = {
	readonly id: string;
	readonly role: MemberRole;
	/** Rises with each start of the process under this id; a higher one replaces a lower one. */
	readonly incarnation: number;
	readonly region: RegionName;
	readonly availabilityZone: AvailabilityZoneName;
	readonly site: string;
	/** Processor that the process may use, in cores; 1 where it does not say. */
	readonly capacity?: number;
	/** Where callers connect. */
	readonly callerAddress: SocketAddress;
	/** Where peers connect: UDP for heartbeats, TCP for JSON-RPC over HTTP. */
	readonly peerAddress: SocketAddress;
	readonly state: MemberState;
	readonly health: MemberHealth;
	/** Version of the configuration in force there; 0 before the first. */
	readonly configurationVersion: number;
	readonly load: LoadSummary;
};
