/**
 * Interface between the gateway and the platform it is deployed on. An implementation translates the store, header
 * names and encodings of the platform.
 */
import type {DecodeEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {DecodeOperatorRow} from '@filbertwell/discovery/planFollower';
import type {WatchedTable} from '@filbertwell/discovery/watchedTable';
import type {InstanceList} from '@filbertwell/platform/instanceList';
import type {CallerPlace} from './nearbyInstances.js';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** Encodes the result of a look-up as the JSON value that the platform's callers expect. */
export type EncodeLookup = (addresses: readonly string[], lifetimeSeconds: number) => unknown;

/** Platform of a deployment, as the gateway uses it. */
export type GatewayAdapter = {
	readonly headers: GatewayHeaders;
	/** Table of the operators: the traffic plan and the evacuations. */
	readonly operators: WatchedTable;
	/** Table of the endpoints' registrations. */
	readonly registrations: WatchedTable;
	/** List of the gateway instances, used to find peers. */
	readonly instances: InstanceList;
	readonly decodeEndpoint: DecodeEndpoint;
	readonly decodeOperatorRow: DecodeOperatorRow;
	/** Path of look-ups. */
	readonly lookupPath: string;
	/** Reads the caller's region and availability zone from the query of a look-up; missing ones are empty strings. */
	readonly decodePlace: (query: URLSearchParams) => CallerPlace;
	readonly encodeLookup: EncodeLookup;
	/** Path of the readiness check. */
	readonly readyPath: string;
	/** Number of calls to the store since the start, for metrics. */
	readonly storeCallCount: () => number;
	/** Closes the connections to the store. */
	readonly close: () => void;
};
