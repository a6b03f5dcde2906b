import {Buffer} from 'node:buffer';
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

test('a heartbeat over the size limit is rejected', () => {
	const beats = Array.from({length: 16}, () => sender);
	expect(encodeHeartbeat({kind: 'probe', sender, beats})._unsafeUnwrapErr().kind).toBe('tooLarge');
});
