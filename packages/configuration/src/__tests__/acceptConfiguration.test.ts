import type {Fault} from '@filbertwell/platform/faultPlan';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import type {Intent} from '@filbertwell/types/intent';
import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {acceptConfiguration, type AcceptanceError} from '../acceptConfiguration.js';
import {headKey} from '../head.js';
import {partPrefix} from '../partReference.js';
import {readConfiguration, readHead, readHistory} from '../readConfiguration.js';
import {drainedIntent, sampleBlocks, sampleIntent} from './sampleIntent.js';

let platform: MemoryPlatform;
beforeEach(() => {
	platform = createMemoryPlatform();
});

type Change = {
	readonly intent?: Intent;
	readonly expectedVersion: number;
	readonly changeId: string;
	readonly minimumVersion?: number;
	readonly sleep?: () => Promise<void>;
};

const accept = async ({intent = sampleIntent, sleep = async () => undefined, ...change}: Change) => acceptConfiguration({
	platform, intent, author: 'ana', acceptedAt: '2030-01-01T00:00:00Z', sleep, ...change,
});

const versionAfter = async (change: Change): Promise<number> => {
	const result = await accept(change);
	return result._unsafeUnwrap().head.version;
};

const errorAfter = async (change: Change): Promise<AcceptanceError> => {
	const result = await accept(change);
	return result._unsafeUnwrapErr();
};

test('versions increase by one and each can be read back completely', async () => {
	const intents = ['first', 'second', 'third'].map(reason => drainedIntent(reason));
	for (const [index, intent] of intents.entries()) {
		// Each change builds on the previous one.
		expect(await versionAfter({intent, expectedVersion: index, changeId: `c${index}`})).toBe(index + 1); // eslint-disable-line no-await-in-loop
	}

	const configurations = await Promise.all(intents.map(async (_, index) => readConfiguration(platform, index + 1)));
	const read = configurations.map(configuration => configuration._unsafeUnwrap());
	expect(read.map(configuration => configuration?.version)).toEqual([1, 2, 3]);
	expect(read.map(configuration => configuration?.intent)).toEqual(intents);

	const history = await readHistory(platform, 2);
	expect(history._unsafeUnwrap().map(head => head.version)).toEqual([3, 2]);
});

test('a rollback accepts the older intent as a new version', async () => {
	await accept({expectedVersion: 0, changeId: 'c1'});
	await accept({intent: drainedIntent('x'), expectedVersion: 1, changeId: 'c2'});
	const older = await readConfiguration(platform, 1);
	expect(await versionAfter({intent: older._unsafeUnwrap()!.intent, expectedVersion: 2, changeId: 'c3'})).toBe(3);
	const accepted = await readConfiguration(platform);
	expect(accepted._unsafeUnwrap()!.intent).toEqual(sampleIntent);
});

test('a conflicting change is rejected with the head of the change that was accepted first', async () => {
	await accept({expectedVersion: 0, changeId: 'winner'});
	const error = await errorAfter({intent: drainedIntent('x'), expectedVersion: 0, changeId: 'loser'});
	expect(error).toMatchObject({kind: 'conflict', head: {version: 1, changeId: 'winner', author: 'ana'}});
});

test('exactly one of several concurrent changes is accepted', async () => {
	const results = await Promise.all(Array.from({length: 8}, async (_, index) => accept({
		intent: drainedIntent(`${index}`), expectedVersion: 0, changeId: `c${index}`,
	})));
	expect(results.filter(result => result.isOk())).toHaveLength(1);
	const head = await readHead(platform);
	expect(head._unsafeUnwrap()?.version).toBe(1);
});

test('applying a change again with the same change id creates no second version', async () => {
	expect(await versionAfter({expectedVersion: 0, changeId: 'c1'})).toBe(1);
	expect(await versionAfter({expectedVersion: 0, changeId: 'c1'})).toBe(1);
	await accept({intent: drainedIntent('x'), expectedVersion: 1, changeId: 'c2'});
	expect(await versionAfter({expectedVersion: 0, changeId: 'c1'})).toBe(1);
});

type OutageCase = {
	readonly name: string;
	readonly faults: readonly Fault[];
	readonly outcome: AcceptanceError['kind'] | 'accepted';
	readonly version: number;
};

const outageCases: readonly OutageCase[] = [
	{
		name: 'the table is down', faults: [{target: 'table', kind: 'down'}], outcome: 'unavailable', version: 0,
	},
	{
		name: 'the object store is down', faults: [{target: 'objects', kind: 'down'}], outcome: 'unavailable', version: 0,
	},
	{
		name: 'the table rejects the transaction', faults: [{target: 'table', kind: 'error', access: 'write'}], outcome: 'unavailable', version: 0,
	},
	{
		name: 'the reply to the transaction is lost once', faults: [{
			target: 'table', kind: 'lostReply', access: 'write', count: 1,
		}], outcome: 'accepted', version: 1,
	},
	{
		name: 'the connection closes once before the transaction', faults: [{
			target: 'table', kind: 'down', access: 'write', count: 1,
		}], outcome: 'accepted', version: 1,
	},
	{
		name: 'the connection of each transaction closes', faults: [{target: 'table', kind: 'down', access: 'write'}], outcome: 'unknown', version: 0,
	},
];

test.each(outageCases)('when $name the change is $outcome', async ({faults, outcome, version}) => {
	platform.setFaults(faults);
	const result = await accept({expectedVersion: 0, changeId: 'c1'});
	expect(result.match(() => 'accepted', error => error.kind)).toBe(outcome);
	platform.setFaults([]);
	const head = await readHead(platform);
	expect(head._unsafeUnwrap()?.version ?? 0).toBe(version);
});

test('a lost reply followed by an outage has an unknown outcome, which applying the same change again resolves', async () => {
	platform.setFaults([
		{
			target: 'table', kind: 'lostReply', access: 'write', count: 1,
		},
	]);
	const sleep = async () => {
		platform.setFaults([{target: 'table', kind: 'down'}]);
	};

	expect(await errorAfter({expectedVersion: 0, changeId: 'c1', sleep})).toMatchObject({kind: 'unknown', changeId: 'c1'});
	platform.setFaults([]);
	expect(await versionAfter({expectedVersion: 0, changeId: 'c1'})).toBe(1);
});

test('a change whose reply was lost is found even if another change was accepted after it', async () => {
	platform.setFaults([{
		target: 'table', kind: 'lostReply', access: 'write', count: 1,
	}]);
	const sleep = async () => {
		await accept({intent: drainedIntent('x'), expectedVersion: 1, changeId: 'other'});
	};

	expect(await versionAfter({expectedVersion: 0, changeId: 'c1', sleep})).toBe(1);
	const head = await readHead(platform);
	expect(head._unsafeUnwrap()).toMatchObject({version: 2, changeId: 'other'});
});

test('a head that cannot be parsed is an error that names the row', async () => {
	await platform.table.transact({checks: [], writes: [{key: headKey, value: '{"version":"x"}'}]});
	expect(await errorAfter({expectedVersion: 0, changeId: 'c1'})).toMatchObject({kind: 'invalid', detail: expect.stringContaining(headKey) as string});
	const head = await readHead(platform);
	expect(head._unsafeUnwrapErr().kind).toBe('malformed');
});

test('an invalid intent is not accepted', async () => {
	const intent = {...sampleIntent, lookups: {...sampleIntent.lookups, lifetimeSeconds: -1}};
	expect(await errorAfter({intent, expectedVersion: 0, changeId: 'c1'})).toMatchObject({kind: 'invalid', detail: expect.stringContaining('lifetimeSeconds') as string});
	const head = await readHead(platform);
	expect(head._unsafeUnwrap()).toBeUndefined();
});

test('after a restore from a backup the next version is higher than the minimum version', async () => {
	await accept({expectedVersion: 0, changeId: 'c1'});
	expect(await versionAfter({expectedVersion: 1, minimumVersion: 41, changeId: 'c2'})).toBe(42);
});

describe('parts', () => {
	const bytesOf = async (expectedVersion: number, intent: Intent): Promise<number> => {
		const result = await accept({intent, expectedVersion, changeId: `c${expectedVersion}`});
		return result._unsafeUnwrap().newParts.map(part => part.content).join('').length;
	};

	test('a small change to a large configuration writes few bytes', async () => {
		const blocks = sampleBlocks(20_000);
		const whole = await bytesOf(0, {...sampleIntent, clientBlocks: blocks});
		const drain = await bytesOf(1, {...drainedIntent('x'), clientBlocks: blocks});
		const changed = await bytesOf(2, {...drainedIntent('x'), clientBlocks: blocks.with(10_000, {...blocks[10_000]!, preference: 'other'})});
		const removed = await bytesOf(3, {...drainedIntent('x'), clientBlocks: blocks.toSpliced(10_000, 1)});
		expect(drain).toBeLessThan(2000);
		expect(changed).toBeLessThan(whole / 10);
		expect(removed).toBeLessThan(whole / 10);
	});

	test('the next change writes missing parts of the accepted version again', async () => {
		await accept({expectedVersion: 0, changeId: 'c1'});
		for (const key of platform.state.listObjects(partPrefix)) {
			platform.state.removeObject(key);
		}

		const unreadable = await readConfiguration(platform);
		expect(unreadable._unsafeUnwrapErr().kind).toBe('missing');
		await accept({expectedVersion: 1, changeId: 'c2'});
		const repaired = await readConfiguration(platform);
		expect(repaired._unsafeUnwrap()?.intent).toEqual(sampleIntent);
	});

	test.each([
		['corrupt', 'garbage'],
		['corrupt', ''],
	])('a part that was overwritten is reported as %s', async (kind, content) => {
		await accept({expectedVersion: 0, changeId: 'c1'});
		for (const key of platform.state.listObjects(partPrefix)) {
			platform.state.putObject(key, content);
		}

		const configuration = await readConfiguration(platform);
		expect(configuration._unsafeUnwrapErr().kind).toBe(kind);
	});
});
