/**
 * Encodes and decodes heartbeats as JSON-RPC notifications, each in a single datagram.
 */
import {Buffer} from 'node:buffer';
import {createJSONRPCNotification, isJSONRPCRequest} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {heartbeatSchema, type Heartbeat} from './heartbeat.js';
import {describeThrown, type PeerError} from './peerError.js';

/** Largest datagram in bytes; it passes all common network paths without fragmentation. */
export const maximumDatagramBytes = 1200;

const heartbeatMethod = 'heartbeat';

/**
 * Encodes a heartbeat.
 *
 * @param heartbeat - Heartbeat to send.
 * @returns The datagram; `tooLarge` if it exceeds `maximumDatagramBytes`.
 */
export const encodeHeartbeat = (heartbeat: Heartbeat): Result<Uint8Array, PeerError> => {
	const datagram = Buffer.from(JSON.stringify(createJSONRPCNotification(heartbeatMethod, heartbeat)));
	return datagram.length > maximumDatagramBytes
		? err({kind: 'tooLarge', detail: `heartbeat of ${datagram.length} bytes exceeds the limit of ${maximumDatagramBytes} bytes; send fewer records`})
		: ok(datagram);
};

/**
 * Drops beats, then records, from the end of a heartbeat until it fits into a datagram.
 *
 * @param heartbeat - Heartbeat of any size.
 * @returns The longest heartbeat that fits, or one without beats and records if none fits.
 */
export const fitHeartbeat = (heartbeat: Heartbeat): Heartbeat => {
	let fitting = heartbeat;
	while (encodeHeartbeat(fitting).isErr()) {
		const {beats = [], records = []} = fitting;
		if (beats.length === 0 && records.length === 0) {
			return fitting;
		}

		fitting = beats.length > 0
			? {...fitting, beats: beats.slice(0, -1)}
			: {...fitting, records: records.slice(0, -1)};
	}

	return fitting;
};

const parseJson = (text: string): Result<unknown, PeerError> => {
	try {
		return ok(JSON.parse(text));
	} catch (error) {
		return err({kind: 'malformed', detail: describeThrown(error)});
	}
};

const checkHeartbeat = (message: unknown): Result<Heartbeat, PeerError> => {
	if (!isJSONRPCRequest(message) || message.method !== heartbeatMethod) {
		return err({kind: 'malformed', detail: 'message is not a JSON-RPC notification of a heartbeat'});
	}

	const parsed = heartbeatSchema.safeParse(message.params);
	return parsed.success ? ok(parsed.data) : err({kind: 'malformed', detail: z.prettifyError(parsed.error)});
};

/**
 * Decodes a datagram.
 *
 * @param datagram - Received bytes, which need not be valid.
 * @returns The heartbeat; `tooLarge` or `malformed` if the bytes are not a valid one.
 */
export const decodeHeartbeat = (datagram: Uint8Array): Result<Heartbeat, PeerError> => datagram.length > maximumDatagramBytes
	? err({kind: 'tooLarge', detail: `datagram of ${datagram.length} bytes exceeds the limit`})
	: parseJson(Buffer.from(datagram).toString('utf8')).andThen(message => checkHeartbeat(message));
