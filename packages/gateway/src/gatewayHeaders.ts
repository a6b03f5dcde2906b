/**
 * Headers between callers, the gateway and endpoints. Their names are those of the deployment.
 */
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';

/** Names in lower case, and readers of values. */
export type GatewayHeaders = {
	/** Id of one attempt of a caller; endpoints echo it. */
	readonly requestId: string;
	/** Milliseconds that the caller still waits. */
	readonly deadline: string;
	/** Id of the endpoint that is to run the request; any other refuses it. */
	readonly expectedEndpoint: string;
	/** Set by an endpoint that did not run the request. */
	readonly notRun: string;
	/** Proof that an endpoint made the answer. */
	readonly stamp: string;
	/** Load of the endpoint. */
	readonly load: string;
	/** Name of the cookie with the affinity key. */
	readonly affinityCookie: string;
	/** Reads a load report; `undefined` where the text is none. */
	readonly decodeLoad: (text: string) => EndpointLoad | undefined;
};
