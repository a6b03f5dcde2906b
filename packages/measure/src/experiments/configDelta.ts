/**
 * A change of one client block in a configuration of the target's size: bytes that a process
 * fetches and how long its event loop is held. The baseline is the first load of the whole.
 */
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {createFollower} from '@filbertwell/configuration/createFollower';
import type {ConfigurationFollower} from '@filbertwell/configuration/follower';
import {silentLogger} from '@filbertwell/logger/logger';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import {createPlatformStandin, type PlatformStandin} from '@filbertwell/standins/platformStandin';
import type {Intent} from '@filbertwell/types/intent';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {okAsync} from 'neverthrow';
import {of} from 'rxjs';
import type {Experiment} from '../experiment.js';
import {createBlocks, createSmallIntent} from '../smallIntent.js';

const blockCount = 320_000;
const preferenceCount = 200;
const changes = 20;
const pollMs = 50;
const backstopMs = 3_600_000;
const timeoutMs = 10_000;
const changesPerDay = 880;
const secondsPerDay = 86_400;
const maximumBytesPerSecond = 1000;
const maximumPauseMs = 10;

/** Watches the longest time for which the event loop is held. */
const watchTurns = () => {
	const stopping = new AbortController();
	let longestMs = 0;
	const watch = async () => {
		let turnStartedAt = monotonicClock();
		while (!stopping.signal.aborted) {
			await nextTurn(); // eslint-disable-line no-await-in-loop
			const now = monotonicClock();
			longestMs = Math.max(longestMs, now - turnStartedAt);
			turnStartedAt = now;
		}
	};

	void watch();
	return () => {
		stopping.abort();
		return longestMs;
	};
};

const untilVersion = async (follower: ConfigurationFollower, version: number) => {
	while (follower.current()?.version !== version) {
		await delay(5); // eslint-disable-line no-await-in-loop
	}
};

const sum = (numbers: readonly number[]): number => {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
};

const bytesSent = (standin: PlatformStandin): number => standin.statistics().bytesSent;

/** The experiment. */
export const experiment: Experiment = {
	name: 'config-delta',
	description: 'One changed block of 320,000: bytes to fetch and pause of the event loop',
	async run({seed}) {
		const random = createRandom(seed);
		const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
		const connect = () => createHttpPlatform({
			address: standin.address, timeoutMs, clock: monotonicClock, random, log: silentLogger,
		});
		const [operator, entry] = [connect(), connect()];
		const names = Array.from({length: preferenceCount}, (_, index) => `near-${index}`);
		const whole: Intent = {
			...createSmallIntent('seed'),
			sitePreferences: ['near', ...names].map(name => ({name, sites: ['site-1']})),
			clientBlocks: createBlocks(blockCount, names),
		};
		const accept = async (intent: Intent, version: number) => {
			const result = await acceptConfiguration({
				platform: operator, intent, expectedVersion: version - 1, changeId: `change-${version}`, author: 'ana', acceptedAt: '',
			});
			if (result.isErr()) {
				throw new Error(`change ${version} was not accepted: ${result.error.detail}`);
			}
		};

		await accept(whole, 1);
		const sentBefore = bytesSent(standin);
		let stopWatch = watchTurns();
		const startedAt = monotonicClock();
		// The operator's work is in this process too; the entry polls only once it is over.
		let polls = false;
		const follower = createFollower({
			platform: entry,
			clock: monotonicClock,
			random,
			log: silentLogger,
			peers: {announced: of(0), fetchHead: () => okAsync(undefined), fetchPart: () => okAsync(undefined)},
			isPoller: () => polls,
			pollMs,
			backstopMs,
		});
		await untilVersion(follower, 1);
		const baseline = {bytes: bytesSent(standin) - sentBefore, milliseconds: monotonicClock() - startedAt, longestPauseMs: stopWatch()};

		const bytes: number[] = [];
		const pausesMs: number[] = [];
		for (let version = 2; version <= changes + 1; version += 1) {
			const index = Math.floor(random() * blockCount);
			const clientBlocks = whole.clientBlocks.with(index, {...whole.clientBlocks[index]!, preference: 'near'});
			await accept({...whole, clientBlocks}, version); // eslint-disable-line no-await-in-loop
			const before = bytesSent(standin);
			stopWatch = watchTurns();
			polls = true;
			await untilVersion(follower, version); // eslint-disable-line no-await-in-loop
			polls = false;
			pausesMs.push(stopWatch());
			bytes.push(bytesSent(standin) - before);
		}

		await follower.stop();
		operator.close();
		entry.close();
		await standin.close();
		const meanBytes = sum(bytes) / changes;
		const value = {
			meanBytes, largestBytes: Math.max(...bytes), bytesPerSecondAtTarget: meanBytes * changesPerDay / secondsPerDay, longestPauseMs: Math.max(...pausesMs),
		};
		return {
			experiment: 'config-delta',
			seed,
			baseline,
			value,
			ratio: meanBytes / baseline.bytes,
			bound: `880 such changes a day take at most ${maximumBytesPerSecond} bytes a second; no pause over ${maximumPauseMs} ms`,
			ok: value.bytesPerSecondAtTarget <= maximumBytesPerSecond && value.longestPauseMs <= maximumPauseMs,
		};
	},
};
