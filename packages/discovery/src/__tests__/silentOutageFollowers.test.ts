/**
 * The store of a large deployment stops answering, without an error, and returns. Only the readers call it; the other
 * instances follow a reader or take the rows of a peer.
 */
import {silentLogger} from '@filbertwell/logger/logger';
import {createRandom} from '@filbertwell/utils/random';
import {ok} from 'neverthrow';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {followTable} from '../followTable.js';
import {readTimesOf, type UpdateBounds} from '../readTimes.js';
import {createRowReplica, type RowReplica} from '../rowReplica.js';
import {awaitChanges, createSharedTable, type SharedChanges} from '../sharedTable.js';
import {createTableReaders, type ReaderCandidate, type TableReader} from '../tableReaders.js';
import {createSharedAbortController} from './fakeTimersPromises.js';
import {
	clock, createSilentStore, delay, roundTripMs,
} from './silentStore.js';

const regions = ['north', 'south', 'central'];
const settlingMs = 6000;
const changedBeforeMs = 900;

let stopping = createSharedAbortController();

// The fake timers replace only the global functions.
vi.mock('node:timers/promises', async original => {
	const {setTimeoutPromise} = await import('./fakeTimersPromises.js');
	return {...await original<Record<string, unknown>>(), setTimeout: setTimeoutPromise};
});

beforeEach(() => {
	vi.useFakeTimers();
	stopping = createSharedAbortController();
});

afterEach(() => {
	stopping.abort();
	vi.useRealTimers();
});

/** Starts a deployment whose instances know each other, but do not hear which version the others have. */
const startDeployment = (size: number, bounds: UpdateBounds, seed: number) => {
	const times = readTimesOf(bounds);
	const store = createSilentStore(times);
	const random = createRandom(seed);
	const replicas: RowReplica[] = [];
	const candidates = Array.from({length: size}, (_, index): ReaderCandidate => ({
		id: `instance-${index}`, region: regions[index % regions.length]!, capacity: index % 3 === 0 ? 1.35 : 0.27, isServing: true, peerAddress: {host: '127.0.0.1', port: index},
	}));
	const ask = async <Answer>(reader: TableReader, answer: (replica: RowReplica) => Promise<Answer>): Promise<Answer> => {
		await delay(roundTripMs / 2);
		const result = await answer(replicas[reader.peerAddress.port]!);
		await delay(roundTripMs / 2);
		return result;
	};

	for (const self of candidates) {
		const readers = createTableReaders({
			clock, self, instances: () => candidates, times: () => times,
		});
		const replica = createRowReplica(clock);
		replicas.push(replica);
		void followTable({
			name: 'registrations',
			table: createSharedTable({
				store: store.table,
				readers,
				readFromReader: async (reader, after, waitMs) => ask(reader, async copy => ok(await awaitChanges(copy, after, waitMs, {clock, staleAfterMs: times.staleAfterMs}))),
				readAllFromReader: async reader => ask(reader, async copy => ok<SharedChanges>({reading: copy.snapshot(), ageMs: copy.ageMs()})),
				clock,
				times: () => times,
				isFirstStart: false,
			}),
			replica,
			async readFromPeer() {
				await delay(roundTripMs);
				const peer = replicas[Math.floor(random() * replicas.length)]!;
				const snapshot = peer.snapshot();
				return snapshot === undefined ? undefined : {...snapshot, ageMs: peer.ageMs()};
			},
			isBehindPeers: () => false,
			onChange: () => undefined,
			clock,
			random,
			log: silentLogger,
			signal: stopping.signal,
			waitMs: readers.storeWaitMs,
			maximumRetryMs: () => times.maximumRetryMs,
			pauseMs: 200,
		});
	}

	return {store, replicas};
};

/** Plays an outage that is followed by a change; returns how many instances know the change in time. */
const playOutage = async (size: number, bounds: UpdateBounds, silentMs: number): Promise<number> => {
	const {store, replicas} = startDeployment(size, bounds, silentMs);
	await vi.advanceTimersByTimeAsync(settlingMs);
	store.write();
	await vi.advanceTimersByTimeAsync(changedBeforeMs);
	store.silence();
	await vi.advanceTimersByTimeAsync(silentMs);
	store.restore();
	const newest = store.write();
	await vi.advanceTimersByTimeAsync(bounds.contactMs);
	stopping.abort();
	stopping = createSharedAbortController();
	return replicas.filter(replica => replica.version() === newest).length;
};

/** Instances that only know an old copy of a reader after a silent outage would use endpoints that have left. */
test.each([
	[27, 3000, 4000],
	[64, 3000, 4000],
	[64, 4000, 5000],
])('all of %i instances know a change in time after the store was silent, bound of changes %i ms, up to date after %i ms', async (size, planMs, contactMs) => {
	const late: string[] = [];
	for (const silentMs of [700, 3100, 9000]) {
		const known = await playOutage(size, {planMs, drainMs: planMs, contactMs}, silentMs); // eslint-disable-line no-await-in-loop
		if (known < size) {
			late.push(`silent for ${silentMs} ms: ${known} of ${size}`);
		}
	}

	expect(late).toEqual([]);
});
