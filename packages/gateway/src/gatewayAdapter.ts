/**
 * What a deployment's platform provides to the gateway, in the gateway's own terms.
 */
import type {DecodeEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {DecodeOperatorRow} from '@filbertwell/discovery/planFollower';
import type {WatchedTable} from '@filbertwell/discovery/watchedTable';
import type {InstanceList} from '@filbertwell/platform/instanceList';
import type {CallerPlace} from './nearbyInstances.js';
import type {GatewayHeaders} from './gatewayHeaders.js';

/** A look-up answer in the platform's form. */
export type EncodeLookup = (addresses: readonly string[], lifetimeSeconds: number) => unknown;

/** Platform of a deployment. */
export type GatewayAdapter = {
	readonly headers: GatewayHeaders;
	/** Rows of the operators. */
	readonly operators: WatchedTable;
	/** Registrations of endpoints. */
	readonly registrations: WatchedTable;
	readonly instances: InstanceList;
	readonly decodeEndpoint: DecodeEndpoint;
	readonly decodeOperatorRow: DecodeOperatorRow;
	/** Path of look-ups, and where the caller is by the query. */
	readonly lookupPath: string;
	readonly decodePlace: (query: URLSearchParams) => CallerPlace;
	readonly encodeLookup: EncodeLookup;
	readonly readyPath: string;
	/** Calls to the store so far, for metrics. */
	readonly storeCalls: () => number;
	readonly close: () => void;
};
