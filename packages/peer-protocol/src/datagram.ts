/**
 * Encodes and decodes heartbeats as JSON-RPC notifications, each in a single datagram. A compressed datagram starts with
 * a marker byte that no JSON text starts with.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {createJSONRPCNotification, isJSONRPCRequest} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {heartbeatSchema, type Heartbeat} from './heartbeat.js';
import {describeThrown, type PeerError} from './peerError.js';

/** Largest datagram in bytes; it passes all common network paths without fragmentation. */
export const maximumDatagramBytes = 1200;

const heartbeatMethod = 'heartbeat';
const compressionMarker = 1;
/** Text that heartbeats repeat. All members that compress must use the same one. */
const compressionDictionary = Buffer.from(JSON.stringify(createJSONRPCNotification(heartbeatMethod, {
	kind: 'news',
	sender: {
		id: 'entry', incarnation: 0, sequence: 1, state: 'starting', health: 'suspect', configurationVersion: 0, load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
	},
	records: [{
		id: '-1', role: 'entry', incarnation: 1, region: '', availabilityZone: '', site: '', capacity: 1,
		callerAddress: {host: '10.0.0.', port: 8}, peerAddress: {host: '10.0.0.', port: 7}, acceptsDeflate: true,
		state: 'leaving', health: 'alive', configurationVersion: 1, sequence: 2,
	}],
	unheard: [],
	beats: [{
		id: '-2', incarnation: 17, sequence: 3, state: 'serving', health: 'alive', configurationVersion: 2,
	}, {id: 'probe', incarnation: 'reply'}],
})));
/** A small window and little memory suffice for a datagram. */
const compressionOptions = {dictionary: compressionDictionary, windowBits: 12, memLevel: 5};

/**
 * Encodes a heartbeat.
 *
 * @param heartbeat - Heartbeat to send.
 * @param isCompressed - Whether to compress it, which the receiver must accept.
 * @returns The datagram; `tooLarge` if it exceeds `maximumDatagramBytes` before compression.
 */
export const encodeHeartbeat = (heartbeat: Heartbeat, isCompressed = false): Result<Uint8Array, PeerError> => {
	const datagram = Buffer.from(JSON.stringify(createJSONRPCNotification(heartbeatMethod, heartbeat)));
	if (datagram.length > maximumDatagramBytes) {
		return err({kind: 'tooLarge', detail: `heartbeat of ${datagram.length} bytes exceeds the limit of ${maximumDatagramBytes} bytes; send fewer records`});
	}

	return ok(isCompressed ? Buffer.concat([Buffer.of(compressionMarker), deflateRawSync(datagram, compressionOptions)]) : datagram);
};

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Bytes of `,"name":[]`. */
const emptyListBytes = (name: string): number => jsonBytes(name) + 4;

/** Number of first items of a list that fit into the available bytes, the list itself included. */
const fittingItems = (name: string, items: readonly unknown[], availableBytes: number): {readonly count: number; readonly bytes: number} => {
	let bytes = 0;
	let count = 0;
	for (const item of items) {
		// The list is counted with its first item; further items are preceded by a comma.
		const nextBytes = bytes + jsonBytes(item) + (count === 0 ? emptyListBytes(name) : 1);
		if (nextBytes > availableBytes) {
			break;
		}

		bytes = nextBytes;
		count += 1;
	}

	return {count, bytes};
};

/**
 * Drops beats, then records, from the end of a heartbeat until it fits into a datagram.
 *
 * @param heartbeat - Heartbeat of any size.
 * @returns The longest heartbeat that fits, or one without beats and records if none fits.
 */
export const fitHeartbeat = (heartbeat: Heartbeat): Heartbeat => {
	const {beats = [], records = [], ...rest} = heartbeat;
	const availableBytes = maximumDatagramBytes - jsonBytes(createJSONRPCNotification(heartbeatMethod, rest));
	const fittingRecords = fittingItems('records', records, availableBytes);
	const fittingBeats = fittingRecords.count < records.length ? {count: 0} : fittingItems('beats', beats, availableBytes - fittingRecords.bytes);
	if (fittingBeats.count === beats.length && fittingRecords.count === records.length) {
		return heartbeat;
	}

	return {
		...rest,
		...(fittingRecords.count > 0 && {records: records.slice(0, fittingRecords.count)}),
		...(fittingBeats.count > 0 && {beats: beats.slice(0, fittingBeats.count)}),
	};
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

const decompress = (datagram: Uint8Array): Result<string, PeerError> => {
	if (datagram[0] !== compressionMarker) {
		return ok(Buffer.from(datagram).toString('utf8'));
	}

	try {
		return ok(inflateRawSync(datagram.subarray(1), {...compressionOptions, maxOutputLength: maximumDatagramBytes}).toString('utf8'));
	} catch (error) {
		return err({kind: 'malformed', detail: describeThrown(error)});
	}
};

/**
 * Decodes a datagram.
 *
 * @param datagram - Received bytes, which need not be valid.
 * @returns The heartbeat; `tooLarge` or `malformed` if the bytes are not a valid one.
 */
export const decodeHeartbeat = (datagram: Uint8Array): Result<Heartbeat, PeerError> => datagram.length > maximumDatagramBytes
	? err({kind: 'tooLarge', detail: `datagram of ${datagram.length} bytes exceeds the limit`})
	: decompress(datagram).andThen(text => parseJson(text)).andThen(message => checkHeartbeat(message));
