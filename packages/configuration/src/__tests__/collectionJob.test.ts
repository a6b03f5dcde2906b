import {silentLogger} from '@filbertwell/logger/logger';
import {createMemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {expect, test, vi} from 'vitest';
import {acceptConfiguration} from '../acceptConfiguration.js';
import {startCollectionJob, type CollectionJob} from '../collectionJob.js';
import {readHistory} from '../readConfiguration.js';
import {drainedIntent} from './sampleIntent.js';

const leaseKey = 'lease/collection/holder';

test('one process collects, another takes over when it stops, and non-candidates never acquire the lease', async () => {
	const platform = createMemoryPlatform();
	const start = (holder: string, isCandidate: () => boolean): CollectionJob => startCollectionJob({
		platform,
		holder,
		isCandidate,
		versionInForce: () => 0,
		keptVersions: 2,
		intervalMs: 5,
		termMs: 60,
		clock: monotonicClock,
		random: createRandom(1),
		log: silentLogger,
	});
	const acceptThreeFrom = async (version: number) => {
		for (let next = version; next < version + 3; next += 1) {
			await acceptConfiguration({ // eslint-disable-line no-await-in-loop
				platform, intent: drainedIntent(`${next}`), expectedVersion: next, changeId: `${next}`, author: '', acceptedAt: '', sleep: async () => undefined,
			});
		}
	};

	const waitForVersions = async (versions: readonly number[]) => {
		await vi.waitFor(async () => {
			const history = await readHistory(platform, 100);
			expect(history._unsafeUnwrap().map(head => head.version)).toEqual(versions);
		}, {timeout: 10_000, interval: 5});
	};

	const nonCandidate = start('bystander', () => false);
	expect(platform.state.read(leaseKey)).toBeUndefined();
	const first = start('first', () => true);
	await acceptThreeFrom(0);
	await waitForVersions([3, 2]);
	expect(platform.state.read(leaseKey)?.value).toContain('first');
	const second = start('second', () => true);
	await first.stop();
	await acceptThreeFrom(3);
	await waitForVersions([6, 5]);
	expect(platform.state.read(leaseKey)?.value).toContain('second');
	await Promise.all([second.stop(), nonCandidate.stop()]);
});
