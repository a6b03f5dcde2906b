/**
 * Follows the accepted configuration through the table, peers and offers.
 */
import {configurationEvents} from '@filbertwell/logger/events/configurationEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Platform} from '@filbertwell/platform/platform';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {okAsync} from 'neverthrow';
import {
	filter, firstValueFrom, merge, ReplaySubject, Subject, timer,
} from 'rxjs';
import {
	assembleConfiguration, contentOfPart, type AssembledConfiguration, type AssemblyError,
} from './assembleConfiguration.js';
import {createPace} from './boundedWork.js';
import {createPartFetcher, type PartSource} from './fetchParts.js';
import type {ConfigurationFollower} from './follower.js';
import {parseHead, type Head} from './head.js';
import {createHeadSources} from './headSources.js';
import {createPartCache} from './partCache.js';
import {hashOfReference} from './partReference.js';
import type {PeerConfigurationSource} from './peerConfigurationSource.js';
import {createProblemLog} from './problemLog.js';
import {createStoreSource} from './storedParts.js';

/** Parameters of a follower. */
export type FollowerOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly peers: PeerConfigurationSource;
	/** Whether this process is one of those that poll the table often. */
	readonly isPoller: () => boolean;
	/** Time between polls of a poller, in milliseconds. */
	readonly pollMs: number;
	/** Time between polls of any other process, in milliseconds. */
	readonly backstopMs: number;
};

/** Most characters of offered parts that are kept. */
const maximumOfferedCharacters = 4 * 1024 * 1024;
const pollJitter = 0.1;
/** Shortest time between two steps. */
const minimumRetryMs = 100;

/**
 * Starts to follow the accepted configuration.
 *
 * @param options - Platform, peers and times in milliseconds.
 * @returns The follower; it has no configuration before the first is in force.
 */
export const createFollower = (options: FollowerOptions): ConfigurationFollower => {
	const {platform, clock, random, log, peers, isPoller, pollMs, backstopMs} = options;
	const inForce = new ReplaySubject<Configuration>(1);
	const wakeups = new Subject<void>();
	const offered = createPartCache(maximumOfferedCharacters);
	const loadProblem = createProblemLog(log);
	const startProblem = createProblemLog(log);

	let assembled: AssembledConfiguration | undefined;
	let offeredHead: Head | undefined;
	let announced = 0;
	let lastPollAt = Number.NEGATIVE_INFINITY;
	let woken = false;
	const stopper = new AbortController();
	const stopping = stopper.signal;

	const currentVersion = () => assembled?.head.version ?? 0;
	const heads = createHeadSources({
		platform, peers, log, headInForce: () => assembled?.head,
	});

	const peerSource: PartSource = {
		origin: 'peer',
		fetch: reference => peers.fetchPart(hashOfReference(reference)),
	};
	const offerSource: PartSource = {
		origin: 'offer',
		fetch: reference => okAsync(offered.get(hashOfReference(reference))),
	};
	const storeSource = createStoreSource(platform);

	/** Loads a head and puts it in force; returns why it could not. */
	const load = async (head: Head): Promise<AssemblyError | undefined> => {
		const fetcher = createPartFetcher([offerSource, peerSource, storeSource], (origin, reference) => {
			log(configurationEvents.partCorrupt, {origin, reference, version: head.version});
		});
		const startedAt = clock();
		const result = await assembleConfiguration({
			head, fetch: fetcher.fetch, previous: assembled, pace: createPace(clock),
		});
		if (result.isErr()) {
			const {kind, reference, detail} = result.error;
			loadProblem.report(configurationEvents.loadFailed, {
				version: head.version, kind, reference, detail,
			});
			return result.error;
		}

		if (stopping.aborted) {
			return undefined;
		}

		loadProblem.clear();
		startProblem.clear();
		assembled = result.value;
		offered.clear();
		log(configurationEvents.inForce, {
			version: head.version,
			changeId: head.changeId,
			partsFromPeers: fetcher.counts('peer').parts,
			partsFromStore: fetcher.counts('store').parts,
			bytesFromPeers: fetcher.counts('peer').bytes,
			bytesFromStore: fetcher.counts('store').bytes,
			milliseconds: Math.round(clock() - startedAt),
		});
		inForce.next(assembled.configuration);
		return undefined;
	};

	/** Whether the process has just started and must not put an older version in force than a peer has. */
	const mustWait = (best: Head): boolean => {
		const wait = assembled === undefined && announced > best.version;
		if (wait) {
			startProblem.report(configurationEvents.waitingForHigher, {announced, known: best.version});
		}

		return wait;
	};

	/** Loads the highest head that can be had. */
	const loadHighest = async (candidates: readonly Head[]) => {
		for (const head of candidates.toSorted((a, b) => b.version - a.version)) {
			if (head.version <= currentVersion() || mustWait(head)) {
				return;
			}

			const error = await load(head); // eslint-disable-line no-await-in-loop
			// A process that has just started does not go past a version that it may get a moment later.
			if (error === undefined || (assembled === undefined && error.kind === 'unavailable')) {
				return;
			}

			if (error.kind !== 'unavailable' && head === offeredHead) {
				offeredHead = undefined;
			}
		}
	};

	const step = async () => {
		const pollDue = clock() - lastPollAt >= (isPoller() || assembled === undefined ? pollMs : backstopMs) * (1 - pollJitter);
		const peersDue = assembled === undefined || announced > currentVersion();
		lastPollAt = pollDue ? clock() : lastPollAt;
		const found = await Promise.all([
			pollDue ? heads.readStore() : undefined,
			peersDue ? heads.askPeers() : undefined,
		]);
		await loadHighest([offeredHead, ...found].filter(head => head !== undefined));
	};

	const waitForNext = async () => {
		const waitMs = pollMs * (1 + (pollJitter * ((2 * random()) - 1)));
		// What woke the loop during a step is not lost.
		await firstValueFrom(woken ? timer(minimumRetryMs) : merge(timer(waitMs), wakeups));
		woken = false;
	};

	const follow = async () => {
		while (!stopping.aborted) {
			await step(); // eslint-disable-line no-await-in-loop
			await waitForNext(); // eslint-disable-line no-await-in-loop
		}
	};

	const wake = () => {
		woken = true;
		wakeups.next();
	};

	const subscription = peers.announced.pipe(filter(version => version !== announced)).subscribe(version => {
		announced = version;
		if (version > currentVersion()) {
			wake();
		}
	});
	const following = follow();

	return {
		current: () => assembled?.configuration,
		inForce,
		head: () => assembled?.head,
		part: hash => (assembled === undefined ? undefined : contentOfPart(assembled, hash)) ?? offered.get(hash),
		offer(text, parts) {
			const head = parseHead(text);
			if (head.isErr() || head.value.version <= Math.max(currentVersion(), offeredHead?.version ?? 0)) {
				return false;
			}

			offeredHead = head.value;
			for (const part of parts) {
				offered.add(part);
			}

			wake();
			return true;
		},
		async stop() {
			stopper.abort();
			subscription.unsubscribe();
			wake();
			await following;
			inForce.complete();
		},
	};
};
