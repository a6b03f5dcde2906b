/**
 * Members of the system: its processes as the membership protocol describes them.
 */
import type {AvailabilityZoneName, RegionName, SocketAddress} from './place.js';

/** Lifecycle state of a process. Look-ups return only `serving` members. */
export type MemberState = 'starting' | 'serving' | 'leaving';

/** Role of a member: entries route requests, look-up processes only serve look-ups. */
export type MemberRole = 'entry' | 'lookup';

/** Whether a member's heartbeats arrive in time. A `suspect` member is not removed while the platform lists it. */
export type MemberHealth = 'alive' | 'suspect';

/** Load of an entry, small enough to be sent with heartbeats. */
export type LoadSummary = {
	/** Number of requests at upstreams. */
	readonly inFlight: number;
	/** Number of requests waiting for a slot. */
	readonly queued: number;
	/** Requests per second in the last measured period of about one second. */
	readonly requestsPerSecond: number;
};

/** A process of the system. */
export type Member = {
	readonly id: string;
	readonly role: MemberRole;
	/** Increases with each start of a process under this id; a higher incarnation supersedes a lower one. */
	readonly incarnation: number;
	readonly region: RegionName;
	readonly availabilityZone: AvailabilityZoneName;
	readonly site: string;
	/** Processor capacity that the process may use, in cores; 1 if it is absent. */
	readonly capacity?: number;
	/** Address that callers connect to. */
	readonly callerAddress: SocketAddress;
	/** Address that peers connect to: UDP for heartbeats, TCP for JSON-RPC over HTTP. */
	readonly peerAddress: SocketAddress;
	/** Whether it accepts compressed heartbeats; absent for members of earlier versions. */
	readonly acceptsDeflate?: boolean;
	readonly state: MemberState;
	readonly health: MemberHealth;
	/** Version of the configuration in force at the member; 0 before the first configuration. */
	readonly configurationVersion: number;
	readonly load: LoadSummary;
};
