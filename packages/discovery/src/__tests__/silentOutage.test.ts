/**
 * The store stops answering, without an error, and returns. Reads that were sent before its return are never answered.
 */
import {silentLogger} from '@filbertwell/logger/logger';
import {createRandom, type Random} from '@filbertwell/utils/random';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {followTable} from '../followTable.js';
import {readTimesOf, type UpdateBounds} from '../readTimes.js';
import {createRowReplica, type RowReplica} from '../rowReplica.js';
import type {WatchedTable} from '../watchedTable.js';
import {createSharedAbortController} from './fakeTimersPromises.js';
import {
	clock, createSilentStore, delay, roundTripMs,
} from './silentStore.js';

const smallBounds: UpdateBounds = {planMs: 2000, drainMs: 2000, contactMs: 3000};
const heartbeatMs = 50;
const calmMs = 5000;
const pauseMs = 20;

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

type Peers = {
	readonly replicas: readonly RowReplica[];
	readonly random: Random;
};

/** Follows the store; a peer's version is known after a heartbeat. Without `peers` the instance only has the store. */
const followStore = (table: WatchedTable, bounds: UpdateBounds, random: Random, peers: Peers): RowReplica => {
	const replica = createRowReplica(clock);
	let newestOfPeers = 0;
	const heartbeat = setInterval(() => {
		newestOfPeers = Math.max(0, ...peers.replicas.map(peer => peer.version() ?? 0));
	}, heartbeatMs);
	stopping.signal.addEventListener('abort', () => {
		clearInterval(heartbeat);
	});
	void followTable({
		name: 'operators',
		table,
		replica,
		async readFromPeer() {
			await delay(roundTripMs);
			const peer = peers.replicas[Math.floor(peers.random() * peers.replicas.length)];
			const snapshot = peer?.snapshot();
			return snapshot === undefined ? undefined : {...snapshot, ageMs: peer!.ageMs()};
		},
		isBehindPeers: () => newestOfPeers > (replica.version() ?? 0),
		onChange: () => undefined,
		clock,
		random,
		log: silentLogger,
		signal: stopping.signal,
		waitMs: () => readTimesOf(bounds).storeWaitMs,
		maximumRetryMs: () => readTimesOf(bounds).maximumRetryMs,
		pauseMs,
	});
	return replica;
};

type Outage = {
	readonly bounds: UpdateBounds;
	readonly instances: number;
	/** Time from the last change before the outage, which brings the reads of all instances into step, to the outage. */
	readonly changedBeforeMs: number;
	readonly silentMs: number;
	readonly seed: number;
};

/** Plays an outage that is followed by a change; returns how many instances know the change in time. */
const playOutage = async ({bounds, instances, changedBeforeMs, silentMs, seed}: Outage): Promise<number> => {
	const store = createSilentStore(readTimesOf(bounds));
	const random = createRandom(seed);
	const replicas: RowReplica[] = [];
	for (let index = 0; index < instances; index += 1) {
		replicas.push(followStore(store.table, bounds, random, {replicas, random}));
	}

	await vi.advanceTimersByTimeAsync(calmMs);
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

const seeds = Array.from({length: 40}, (_, index) => index + 1);

/** Eight instances used a plan that operators had replaced: all their reads hung when the store returned. */
test('no instance uses an old plan when reads in step hang while the store returns', async () => {
	const late: string[] = [];
	for (const seed of seeds) {
		const known = await playOutage({ // eslint-disable-line no-await-in-loop
			bounds: smallBounds, instances: 8, changedBeforeMs: 940, silentMs: 9000, seed,
		});
		if (known < 8) {
			late.push(`seed ${seed}: ${known} of 8`);
		}
	}

	expect(late).toEqual([]);
});

/** A read that hung and the pause after it took longer than an instance has to be up to date again. */
test.each([2500, 3000, 4000, 6000])('an instance alone uses no old plan after a silent outage, with %i ms until it must be up to date', async contactMs => {
	const late: number[] = [];
	for (let silentMs = 500; silentMs <= 12_000; silentMs += 230) {
		const known = await playOutage({ // eslint-disable-line no-await-in-loop
			bounds: {...smallBounds, contactMs}, instances: 1, changedBeforeMs: 700, silentMs, seed: silentMs,
		});
		if (known === 0) {
			late.push(silentMs);
		}
	}

	expect(late).toEqual([]);
});
