/**
 * Counts the bytes that the protocol between peers transfers.
 */

/** Datagrams and bytes since the start: datagrams with estimated IP and UDP headers, RPC bodies without headers. */
export type Traffic = {
	readonly datagramsIn: number;
	readonly datagramsOut: number;
	readonly datagramBytesIn: number;
	readonly datagramBytesOut: number;
	readonly rpcBytesIn: number;
	readonly rpcBytesOut: number;
};

/** Counts datagrams and bytes in both directions. */
export type TrafficCounter = {
	readonly countDatagramIn: (payloadBytes: number) => void;
	readonly countDatagramOut: (payloadBytes: number) => void;
	readonly countRpcIn: (bytes: number) => void;
	readonly countRpcOut: (bytes: number) => void;
	readonly read: () => Traffic;
};

/** Size of the IPv4 and UDP headers of a datagram. */
const datagramHeaderBytes = 28;

/**
 * Creates a counter at zero.
 *
 * @returns The counter.
 */
export const createTrafficCounter = (): TrafficCounter => {
	let datagramsIn = 0;
	let datagramsOut = 0;
	let datagramBytesIn = 0;
	let datagramBytesOut = 0;
	let rpcBytesIn = 0;
	let rpcBytesOut = 0;
	return {
		countDatagramIn(payloadBytes) {
			datagramsIn += 1;
			datagramBytesIn += payloadBytes + datagramHeaderBytes;
		},
		countDatagramOut(payloadBytes) {
			datagramsOut += 1;
			datagramBytesOut += payloadBytes + datagramHeaderBytes;
		},
		countRpcIn(bytes) {
			rpcBytesIn += bytes;
		},
		countRpcOut(bytes) {
			rpcBytesOut += bytes;
		},
		read: () => ({
			datagramsIn, datagramsOut, datagramBytesIn, datagramBytesOut, rpcBytesIn, rpcBytesOut,
		}),
	};
};
