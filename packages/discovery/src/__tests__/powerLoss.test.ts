/**
 * All instances of a deployment lose power and restart together while callers wait: no reader has rows yet, and until
 * heartbeats have spread the sizes of the instances, they disagree on who the readers are.
 */
import {silentLogger} from '@filbertwell/logger/logger';
import type {PlatformError} from '@filbertwell/platform/platformError';
import {createRandom} from '@filbertwell/utils/random';
import {ok, okAsync, type ResultAsync} from 'neverthrow';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {followTable} from '../followTable.js';
import {readTimesOf} from '../readTimes.js';
import {createRowReplica} from '../rowReplica.js';
import {createSharedTable} from '../sharedTable.js';
import {createTableReaders, type ReaderCandidate} from '../tableReaders.js';
import type {VersionedRows, WatchedTable} from '../watchedTable.js';

const regions = ['north', 'south', 'central'];
const times = readTimesOf({planMs: 3000, drainMs: 3000, contactMs: 4000});
const roundTripMs = 40;
const listingMs = 2 * roundTripMs;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const delay = async () => new Promise<void>(resolve => {
	setTimeout(resolve, roundTripMs);
});

const clock = () => Date.now();

/** Restarts all instances; each knows its own size, and after `listingMs` that the others exist. */
const restart = (size: number, signal: AbortSignal) => {
	const startedAtMs = clock();
	let storeReads = 0;
	const answer = (): ResultAsync<VersionedRows, PlatformError> => {
		storeReads += 1;
		return okAsync<VersionedRows, PlatformError>({version: 7, rows: [{key: 'plan', value: 'p'}]}).map(async rows => {
			await delay();
			return rows;
		});
	};

	const store: WatchedTable = {readAll: answer, readChanges: answer};
	const ids = Array.from({length: size}, (_, index) => index);
	const replicas = ids.map(() => createRowReplica(clock));
	const listed = ids.map((index): ReaderCandidate => ({
		id: `instance-${index}`, region: regions[index % regions.length]!, capacity: undefined, isServing: false, peerAddress: {host: '127.0.0.1', port: index},
	}));
	for (const index of ids) {
		const self = {...listed[index]!, capacity: index % 3 === 0 ? 1.35 : 0.27};
		const readers = createTableReaders({
			clock, self, instances: () => clock() - startedAtMs < listingMs ? [self] : listed.with(index, self), times: () => times,
		});
		const readFrom = async ({peerAddress}: {readonly peerAddress: {readonly port: number}}) => {
			await delay();
			const replica = replicas[peerAddress.port]!;
			return ok({reading: replica.snapshot(), ageMs: replica.ageMs()});
		};

		void followTable({
			name: 'operators',
			table: createSharedTable({
				store, readers, readFromReader: readFrom, readAllFromReader: readFrom, clock, times: () => times, isFirstStart: false,
			}),
			replica: replicas[index]!,
			readFromPeer: async () => undefined,
			isBehindPeers: () => false,
			onChange: () => undefined,
			clock,
			random: createRandom(index),
			log: silentLogger,
			signal,
			waitMs: readers.storeWaitMs,
			maximumRetryMs: () => times.maximumRetryMs,
			pauseMs: 200,
		});
	}

	return {
		storeReads: () => storeReads,
		withRows: () => replicas.filter(replica => replica.version() !== undefined).length,
	};
};

test.each([27, 64, 195])('%i instances that restart together have rows after a round trip, with one read of the store each', async size => {
	const stopping = new AbortController();
	const deployment = restart(size, stopping.signal);
	await vi.advanceTimersByTimeAsync(roundTripMs + 10);
	expect(deployment.withRows()).toBe(size);
	expect(deployment.storeReads()).toBe(size);
	stopping.abort();
});
