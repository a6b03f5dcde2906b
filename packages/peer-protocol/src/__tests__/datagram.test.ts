import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	decodeHeartbeat, encodeHeartbeat, fitHeartbeat, maximumDatagramBytes,
} from '../datagram.js';
import type {Heartbeat} from '../heartbeat.js';

const seed = 20_261;

const sender = {
	id: 'entry-1', incarnation: 5, sequence: 9, state: 'serving', health: 'alive', configurationVersion: 3,
} as const;

test('decoding arbitrary bytes returns an error and does not throw', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 1300}), bytes => {
		expect(decodeHeartbeat(bytes).isErr()).toBe(true);
	}), {seed});
});

test('decoding arbitrary JSON parameters returns an error and does not throw', () => {
	fc.assert(fc.property(fc.jsonValue(), parameters => {
		const bytes = Buffer.from(JSON.stringify({jsonrpc: '2.0', method: 'heartbeat', params: parameters}));
		expect(decodeHeartbeat(bytes).isErr()).toBe(true);
	}), {seed});
});

test('a heartbeat is shortened from the end until it fits, and keeps its sender', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 16}), count => {
		const beats = Array.from({length: count}, (_, index) => ({...sender, id: `entry-${index}`}));
		const heartbeat: Heartbeat = {kind: 'probe', sender, beats};
		const fitted = fitHeartbeat(heartbeat);
		const encoded = encodeHeartbeat(fitted)._unsafeUnwrap();
		expect(encoded.length).toBeLessThanOrEqual(maximumDatagramBytes);
		expect(beats.slice(0, fitted.beats?.length)).toEqual(fitted.beats);
		expect(decodeHeartbeat(encoded)._unsafeUnwrap()).toEqual(fitted);
	}), {seed});
});

test('a heartbeat that is shortened keeps as many records and beats as fit', () => {
	const record = {
		...sender, role: 'entry', region: 'south', availabilityZone: 'south-ä', site: 'south', callerAddress: {host: '10.0.0.1', port: 80}, peerAddress: {host: '10.0.0.1', port: 81},
	} as const;
	fc.assert(fc.property(fc.integer({min: 0, max: 6}), fc.integer({min: 0, max: 14}), (recordCount, beatCount) => {
		const records = Array.from({length: recordCount}, (_, index) => ({...record, id: `entry-${index}`}));
		const beats = Array.from({length: beatCount}, (_, index) => ({...sender, id: `entry-${index}`}));
		const fitted = fitHeartbeat({
			kind: 'probe', sender, records, beats,
		});
		const [keptRecords, keptBeats] = [fitted.records?.length ?? 0, fitted.beats?.length ?? 0];
		expect(encodeHeartbeat(fitted).isOk()).toBe(true);
		expect(keptBeats === 0 || keptRecords === recordCount).toBe(true);
		const isWhole = keptRecords === recordCount && keptBeats === beatCount;
		const longer = keptRecords < recordCount
			? {...fitted, records: records.slice(0, keptRecords + 1)}
			: {...fitted, beats: beats.slice(0, keptBeats + 1)};
		expect(isWhole || encodeHeartbeat(longer).isErr()).toBe(true);
	}), {seed});
});

test('a heartbeat over the size limit is rejected', () => {
	const beats = Array.from({length: 16}, () => sender);
	expect(encodeHeartbeat({kind: 'probe', sender, beats})._unsafeUnwrapErr().kind).toBe('tooLarge');
});

test('a compressed heartbeat is decoded to the same heartbeat and takes less than half of the bytes', () => {
	fc.assert(fc.property(fc.integer({min: 2, max: 7}), fc.integer({min: 1, max: 2 ** 40}), (count, incarnation) => {
		const beats = Array.from({length: count}, (_, index) => ({
			...sender, id: `front-region-zone-${index}`, incarnation: incarnation + index, sequence: index * 31,
		}));
		const heartbeat: Heartbeat = {kind: 'reply', sender, beats};
		const compressed = encodeHeartbeat(heartbeat, true)._unsafeUnwrap();
		expect(compressed.length).toBeLessThan(encodeHeartbeat(heartbeat)._unsafeUnwrap().length / 2);
		expect(decodeHeartbeat(compressed)._unsafeUnwrap()).toEqual(heartbeat);
	}), {seed});
});

test('a compressed datagram that is damaged or expands over the limit is rejected', () => {
	const compressed = encodeHeartbeat({kind: 'probe', sender}, true)._unsafeUnwrap();
	expect(decodeHeartbeat(compressed.subarray(0, compressed.length / 2))._unsafeUnwrapErr().kind).toBe('malformed');
	expect(decodeHeartbeat(Buffer.concat([Buffer.of(1), Buffer.alloc(50, 7)]))._unsafeUnwrapErr().kind).toBe('malformed');
	const expanding = Buffer.concat([Buffer.of(1), deflateRawSync(Buffer.alloc(1_000_000, 32))]);
	expect(expanding.length).toBeLessThan(maximumDatagramBytes);
	expect(decodeHeartbeat(expanding)._unsafeUnwrapErr().kind).toBe('malformed');
});
