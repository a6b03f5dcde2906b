/**
 * Headers exchanged between callers, the gateway and endpoints. The platform of the deployment defines their names.
 */
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';

/** Header names in lower case, and decoders of header values. */
export type GatewayHeaders = {
	/** Id of one attempt of a caller; endpoints return it unchanged. */
	readonly requestId: string;
	/** Time that the sender still waits for the response, in milliseconds. */
	readonly deadline: string;
	/** Id of the endpoint that the request is meant for; any other endpoint rejects it. */
	readonly expectedEndpoint: string;
	/** Present if the endpoint did not run the request. */
	readonly notRun: string;
	/** Proves that the response comes from an endpoint. */
	readonly stamp: string;
	/** Load report of the endpoint. */
	readonly load: string;
	/** Name of the cookie that carries the affinity key, in lower case. */
	readonly affinityCookie: string;
	/** Decodes a load report; `undefined` if it is malformed. */
	readonly decodeLoad: (text: string) => EndpointLoad | undefined;
};
