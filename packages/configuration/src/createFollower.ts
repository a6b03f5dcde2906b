/**
 * Follows the accepted configuration: polls the table, listens to peers and takes offers.
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
import {createYieldIfDue} from './cooperativeWork.js';
import {createPartFetcher, type PartSource} from './partFetcher.js';
import type {ConfigurationFollower} from './follower.js';
import {parseHead, type Head} from './head.js';
import {createHeadSources} from './headSources.js';
import {createPartCache} from './partCache.js';
import {hashOfReference} from './partReference.js';
import type {PeerConfigurationSource} from './peerConfigurationSource.js';
import {createProblemLog} from './problemLog.js';
import {createStoreSource} from './storedParts.js';

export type FollowerOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly peers: PeerConfigurationSource;
	/** Whether this process is one of the few that poll the table at the short interval. */
	readonly isPoller: () => boolean;
	/** Time between two polls of a poller, in milliseconds. */
	readonly pollMs: number;
	/** Time between two polls of any other process, in milliseconds. */
	readonly backstopMs: number;
};

/** Capacity of the cache of offered parts, in characters. */
const maximumOfferedCharacters = 4 * 1024 * 1024;
const pollJitter = 0.1;
/** Minimum time between two iterations. */
const minimumRetryMs = 100;

/**
 * Starts to follow the accepted configuration.
 *
 * @param options - Platform, peers and poll intervals.
 * @returns The follower; it has no configuration until the first one is loaded.
 */
export const createFollower = (options: FollowerOptions): ConfigurationFollower => {
	const {platform, clock, random, log, peers, isPoller, pollMs, backstopMs} = options;
	const inForce = new ReplaySubject<Configuration>(1);
	const wakeups = new Subject<void>();
	const offeredParts = createPartCache(maximumOfferedCharacters);
	const loadProblem = createProblemLog(log);
	const startProblem = createProblemLog(log);

	let configurationInForce: AssembledConfiguration | undefined;
	let offeredHead: Head | undefined;
	let announcedVersion = 0;
	let lastPollAt = Number.NEGATIVE_INFINITY;
	let isWakeupPending = false;
	const abortController = new AbortController();
	const stopSignal = abortController.signal;

	const currentVersion = () => configurationInForce?.head.version ?? 0;
	const heads = createHeadSources({
		platform, peers, log, headInForce: () => configurationInForce?.head,
	});

	const peerSource: PartSource = {
		origin: 'peer',
		fetch: reference => peers.fetchPart(hashOfReference(reference)),
	};
	const offerSource: PartSource = {
		origin: 'offer',
		fetch: reference => okAsync(offeredParts.get(hashOfReference(reference))),
	};
	const storeSource = createStoreSource(platform);

	/** Loads the configuration of a head and puts it in force; returns the error if that fails. */
	const load = async (head: Head): Promise<AssemblyError | undefined> => {
		const fetcher = createPartFetcher([offerSource, peerSource, storeSource], (origin, reference) => {
			log(configurationEvents.partCorrupt, {origin, reference, version: head.version});
		});
		const startedAt = clock();
		const result = await assembleConfiguration({
			head, fetch: fetcher.fetch, previous: configurationInForce, yieldIfDue: createYieldIfDue(clock),
		});
		if (result.isErr()) {
			const {kind, reference, detail} = result.error;
			loadProblem.report(configurationEvents.loadFailed, {
				version: head.version, kind, reference, detail,
			});
			return result.error;
		}

		if (stopSignal.aborted) {
			return undefined;
		}

		loadProblem.clear();
		startProblem.clear();
		configurationInForce = result.value;
		offeredParts.clear();
		log(configurationEvents.inForce, {
			version: head.version,
			changeId: head.changeId,
			partsFromPeers: fetcher.counts('peer').parts,
			partsFromStore: fetcher.counts('store').parts,
			bytesFromPeers: fetcher.counts('peer').bytes,
			bytesFromStore: fetcher.counts('store').bytes,
			milliseconds: Math.round(clock() - startedAt),
		});
		inForce.next(configurationInForce.configuration);
		return undefined;
	};

	/** After a start, whether to wait because a peer announces a higher version than the best one found. */
	const shouldWaitForHigher = (best: Head): boolean => {
		const isWaiting = configurationInForce === undefined && announcedVersion > best.version;
		if (isWaiting) {
			startProblem.report(configurationEvents.waitingForHigher, {announced: announcedVersion, known: best.version});
		}

		return isWaiting;
	};

	/** Tries the candidates from the highest version down and loads the first one that can be loaded. */
	const loadHighest = async (candidates: readonly Head[]) => {
		for (const head of candidates.toSorted((a, b) => b.version - a.version)) {
			if (head.version <= currentVersion() || shouldWaitForHigher(head)) {
				return;
			}

			const error = await load(head); // eslint-disable-line no-await-in-loop
			// After a start, an unavailable version may be loadable shortly; no lower one is loaded instead.
			if (error === undefined || (configurationInForce === undefined && error.kind === 'unavailable')) {
				return;
			}

			if (error.kind !== 'unavailable' && head === offeredHead) {
				offeredHead = undefined;
			}
		}
	};

	const runIteration = async () => {
		const isPollDue = clock() - lastPollAt >= (isPoller() || configurationInForce === undefined ? pollMs : backstopMs) * (1 - pollJitter);
		const isPeerFetchDue = configurationInForce === undefined || announcedVersion > currentVersion();
		lastPollAt = isPollDue ? clock() : lastPollAt;
		const found = await Promise.all([
			isPollDue ? heads.readFromTable() : undefined,
			isPeerFetchDue ? heads.fetchFromPeers() : undefined,
		]);
		await loadHighest([offeredHead, ...found].filter(head => head !== undefined));
	};

	const waitForNext = async () => {
		const waitMs = pollMs * (1 + (pollJitter * ((2 * random()) - 1)));
		// A wakeup that came during the iteration shortens the wait, so it is not lost.
		await firstValueFrom(isWakeupPending ? timer(minimumRetryMs) : merge(timer(waitMs), wakeups));
		isWakeupPending = false;
	};

	const follow = async () => {
		while (!stopSignal.aborted) {
			await runIteration(); // eslint-disable-line no-await-in-loop
			await waitForNext(); // eslint-disable-line no-await-in-loop
		}
	};

	const wake = () => {
		isWakeupPending = true;
		wakeups.next();
	};

	const subscription = peers.announcedVersion.pipe(filter(version => version !== announcedVersion)).subscribe(version => {
		announcedVersion = version;
		if (version > currentVersion()) {
			wake();
		}
	});
	const following = follow();

	return {
		current: () => configurationInForce?.configuration,
		inForce,
		head: () => configurationInForce?.head,
		part: hash => (configurationInForce === undefined ? undefined : contentOfPart(configurationInForce, hash)) ?? offeredParts.get(hash),
		offer(text, parts) {
			const head = parseHead(text);
			if (head.isErr() || head.value.version <= Math.max(currentVersion(), offeredHead?.version ?? 0)) {
				return false;
			}

			offeredHead = head.value;
			for (const part of parts) {
				offeredParts.add(part);
			}

			wake();
			return true;
		},
		async stop() {
			abortController.abort();
			subscription.unsubscribe();
			wake();
			await following;
			inForce.complete();
		},
	};
};
