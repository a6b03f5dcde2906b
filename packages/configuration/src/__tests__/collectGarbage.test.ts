import {silentLogger} from '@filbertwell/logger/logger';
import {createLease, type Lease} from '@filbertwell/platform/lease';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import type {Platform} from '@filbertwell/platform/platform';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import fc from 'fast-check';
import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {createSteppedPlatform} from '../../../platform/src/__tests__/steppedPlatform.js';
import {acceptConfiguration} from '../acceptConfiguration.js';
import {collectGarbage} from '../collectGarbage.js';
import {headKey} from '../head.js';
import {partPrefix} from '../partReference.js';
import {readConfiguration, readHead, readHistory} from '../readConfiguration.js';
import {drainedIntent, sampleBlocks, sampleIntent} from './sampleIntent.js';

const termMs = 9000;

let platform: MemoryPlatform;
beforeEach(() => {
	platform = createMemoryPlatform();
});

const acceptWith = async (view: Platform, expectedVersion: number, reason: string) => acceptConfiguration({
	platform: view, intent: drainedIntent(reason), expectedVersion, changeId: `${expectedVersion} ${reason}`, author: '', acceptedAt: '', sleep: async () => undefined,
});

const acceptMany = async (count: number) => {
	for (let version = 0; version < count; version += 1) {
		await acceptWith(platform, version, `reason ${version}`); // eslint-disable-line no-await-in-loop
	}
};

const acquireLease = async (view: Platform = platform, holder = 'first', clock = createManualClock()): Promise<Lease> => {
	const lease = createLease({
		table: view.table, name: 'collection', holder, termMs, clock: clock.now, log: silentLogger,
	});
	await lease.acquireOrRenew();
	return lease;
};

const collect = async (lease: Lease, keptVersions = 2, versionInForce = 0, view: Platform = platform) => collectGarbage({
	platform: view, keptVersions, versionInForce, fence: lease.fence, log: silentLogger,
});

const listVersions = async (): Promise<number[]> => {
	const history = await readHistory(platform, 100);
	return history._unsafeUnwrap().map(head => head.version);
};

test('retained versions stay readable, older ones and their parts are removed', async () => {
	await acceptMany(5);
	const before = platform.state.listObjects(partPrefix).length;
	const lease = await acquireLease();
	const result = await collect(lease);
	// Each removed version has its own manifest and policy part.
	expect(result._unsafeUnwrap()).toEqual({removedVersions: 3, removedParts: 6});
	expect(platform.state.listObjects(partPrefix)).toHaveLength(before - 6);
	expect(await listVersions()).toEqual([5, 4]);
	const fourth = await readConfiguration(platform, 4);
	expect(fourth._unsafeUnwrap()?.intent).toEqual(drainedIntent('reason 3'));
	const again = await collect(lease);
	expect(again._unsafeUnwrap()).toEqual({removedVersions: 0, removedParts: 0});
});

test('a removed part is written again when a later version contains it', async () => {
	await acceptMany(4);
	await collect(await acquireLease());
	await acceptWith(platform, 4, 'reason 0');
	const head = await readConfiguration(platform);
	expect(head._unsafeUnwrap()?.intent).toEqual(drainedIntent('reason 0'));
});

test('parts of a change that was not accepted are removed', async () => {
	await acceptMany(2);
	platform.setFaults([{target: 'table', kind: 'error', access: 'write'}]);
	await acceptWith(platform, 2, 'lost');
	platform.setFaults([]);
	const result = await collect(await acquireLease());
	expect(result._unsafeUnwrap().removedParts).toBe(2);
});

describe('nothing is removed', () => {
	test('without the lease', async () => {
		await acceptMany(4);
		const lease = await acquireLease();
		await lease.release();
		const result = await collect(lease);
		expect(result._unsafeUnwrapErr().kind).toBe('notHolder');
		expect(await listVersions()).toHaveLength(4);
	});

	test('by a holder that was paused while another process took the lease', async () => {
		await acceptMany(4);
		const paused = await acquireLease();
		const clock = createManualClock();
		const other = await acquireLease(platform, 'other', clock);
		clock.advance(termMs);
		await other.acquireOrRenew();
		const result = await collect(paused);
		expect(result._unsafeUnwrapErr().kind).toBe('changed');
		expect(await listVersions()).toHaveLength(4);
	});

	test('if the table holds a lower version than the one in force', async () => {
		await acceptMany(4);
		const result = await collect(await acquireLease(), 2, 5);
		expect(result._unsafeUnwrapErr().kind).toBe('headBehind');
		expect(await listVersions()).toHaveLength(4);
	});

	test('if a retained version cannot be read', async () => {
		await acceptMany(4);
		for (const key of platform.state.listObjects(partPrefix)) {
			platform.state.putObject(key, 'garbage');
		}

		const lease = await acquireLease();
		const result = await collect(lease);
		expect(result._unsafeUnwrapErr().kind).toBe('unreadable');
		await platform.table.transact({checks: [], writes: [{key: headKey, value: '{'}]});
		const withoutHead = await collect(lease);
		expect(withoutHead._unsafeUnwrapErr().kind).toBe('unreadable');
		expect(platform.state.listObjects(partPrefix)).not.toHaveLength(0);
	});

	test.each(['table', 'objects'] as const)('while the %s service is down', async target => {
		await acceptMany(4);
		const lease = await acquireLease();
		platform.setFaults([{target, kind: 'down'}]);
		const result = await collect(lease);
		expect(result._unsafeUnwrapErr().kind).toBe('unavailable');
		platform.setFaults([]);
		expect(await listVersions()).toHaveLength(4);
	});
});

test('the next collection removes what an interrupted one left', async () => {
	await acceptMany(4);
	const lease = await acquireLease();
	platform.setFaults([{target: 'objects', kind: 'error', access: 'write'}]);
	const interrupted = await collect(lease);
	expect(interrupted._unsafeUnwrapErr().kind).toBe('unavailable');
	platform.setFaults([]);
	const result = await collect(lease);
	expect(result._unsafeUnwrap()).toEqual({removedVersions: 0, removedParts: 4});
});

test('every retained version stays readable with any order of calls and with lost or late replies', async () => {
	const reasons = fc.array(fc.constantFrom('a', 'b', 'c'), {minLength: 2, maxLength: 4});
	await fc.assert(fc.asyncProperty(fc.scheduler(), fc.nat(1000), reasons, reasons, async (scheduler, seed, firstReasons, secondReasons) => {
		const memory = createMemoryPlatform({seed});
		const random = createRandom(seed);
		const stepped = createSteppedPlatform(memory, async () => {
			await scheduler.schedule(Promise.resolve());
			memory.setFaults(random() < 0.1 ? [{target: 'table', kind: 'lostReply', count: 1}] : []);
		});

		const applyChanges = async (list: readonly string[]) => {
			for (const reason of list) {
				const head = await readHead(stepped); // eslint-disable-line no-await-in-loop
				if (head.isOk()) {
					await acceptWith(stepped, head.value?.version ?? 0, reason); // eslint-disable-line no-await-in-loop
				}
			}
		};

		const runCollections = async (holder: string) => {
			const clock = createManualClock();
			const lease = await acquireLease(stepped, holder, clock);
			for (let rounds = 0; rounds < 3; rounds += 1) {
				await collect(lease, 2, 0, stepped); // eslint-disable-line no-await-in-loop
				clock.advance(termMs);
				await lease.acquireOrRenew(); // eslint-disable-line no-await-in-loop
			}
		};

		const allTasks = Promise.all([applyChanges(firstReasons), applyChanges(secondReasons), runCollections('one'), runCollections('two')]);
		await scheduler.waitFor(allTasks);
		memory.setFaults([]);
		const head = await readHead(memory);
		const accepted = head._unsafeUnwrap()?.version ?? 0;
		expect(accepted).toBeGreaterThan(0);
		for (let version = Math.max(1, accepted - 1); version <= accepted; version += 1) {
			const configuration = await readConfiguration(memory, version); // eslint-disable-line no-await-in-loop
			expect(configuration.isOk() && configuration.value?.version).toBe(version);
		}
	}), {seed: 5, numRuns: 150});
});

test('chunks of client blocks that only removed versions reference are removed', async () => {
	const blocks = sampleBlocks(3000);
	for (let version = 0; version < 4; version += 1) {
		const intent = {...sampleIntent, clientBlocks: blocks.with(0, {prefix: '9.0.0.0/8', preference: `preference-${version}`})};
		// Each change builds on the previous one.
		await acceptConfiguration({ // eslint-disable-line no-await-in-loop
			platform, intent, expectedVersion: version, changeId: `${version}`, author: '', acceptedAt: '',
		});
	}

	const result = await collect(await acquireLease());
	// Manifest, root, index node and chunk of each of the two removed versions.
	expect(result._unsafeUnwrap().removedParts).toBe(8);
	const third = await readConfiguration(platform, 3);
	expect(third._unsafeUnwrap()?.intent.clientBlocks).toHaveLength(3000);
});
