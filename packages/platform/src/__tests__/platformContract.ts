/**
 * Contract tests that every implementation of the platform must pass. The test of each implementation runs them.
 */
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import type {ResultAsync} from 'neverthrow';
import type {Fault, FaultKind} from '../faultPlan.js';
import type {ListedInstance} from '../instanceList.js';
import type {Platform} from '../platform.js';
import type {PlatformError, PlatformErrorKind} from '../platformError.js';
import {maximumRowBytes, maximumTransactionRows} from '../platformLimits.js';

/** An implementation under test. */
export type PlatformFixture = {
	readonly platform: Platform;
	readonly setFaults: (faults: readonly Fault[]) => void;
	readonly close: () => Promise<void>;
};

const unwrapValue = async <Value>(pending: ResultAsync<Value, PlatformError>): Promise<Value> => {
	const result = await pending;
	return result._unsafeUnwrap();
};

const unwrapErrorKind = async (pending: ResultAsync<unknown, PlatformError>): Promise<PlatformErrorKind> => {
	const result = await pending;
	return result._unsafeUnwrapErr().kind;
};

const instance: ListedInstance = {
	id: 'entry-1', kind: 'entry', host: '127.0.0.1', port: 7000, availabilityZone: 'south-a', state: 'live',
};

type FaultCase = {
	readonly kind: FaultKind;
	readonly error: PlatformErrorKind;
	readonly written: boolean;
};

const writeFaultCases: readonly FaultCase[] = [
	{kind: 'error', error: 'unavailable', written: false},
	{kind: 'down', error: 'unknown', written: false},
	{kind: 'lostReply', error: 'unknown', written: true},
];

const invalidTransactions = [
	{name: 'an empty key', transaction: {checks: [], writes: [{key: '', value: 'x'}]}},
	{name: 'a row written twice', transaction: {checks: [], writes: [{key: 'a', value: '1'}, {key: 'a', value: '2'}]}},
	{name: 'a row checked twice', transaction: {checks: [{key: 'a', revision: 0}, {key: 'a', revision: 1}], writes: []}},
	{name: 'a value over the limit', transaction: {checks: [], writes: [{key: 'a', value: 'x'.repeat(maximumRowBytes + 1)}]}},
	{
		name: 'too many writes',
		transaction: {checks: [], writes: Array.from({length: maximumTransactionRows + 1}, (_, index) => ({key: `k${index}`, value: ''}))},
	},
];

/**
 * Runs the contract tests against an implementation.
 *
 * @param name - Name of the implementation.
 * @param createFixture - Starts an implementation with an empty state.
 */
export const describePlatformContract = (name: string, createFixture: () => Promise<PlatformFixture>) => {
	describe(`platform contract: ${name}`, () => {
		let fixture: PlatformFixture;
		beforeEach(async () => {
			fixture = await createFixture();
		});
		afterEach(async () => {
			await fixture.close();
		});

		const write = async (key: string, value: string | undefined, revision: number) => unwrapValue(fixture.platform.table.transact({
			checks: [{key, revision}], writes: [{key, value}],
		}));

		const revisionOf = async (key: string): Promise<number> => {
			const row = await unwrapValue(fixture.platform.table.read(key));
			return row?.revision ?? 0;
		};

		test('reading a missing row or object returns undefined', async () => {
			expect(await unwrapValue(fixture.platform.table.read('none'))).toBeUndefined();
			expect(await unwrapValue(fixture.platform.objects.get('none'))).toBeUndefined();
		});

		test('a transaction commits only if its checks succeed', async () => {
			expect(await write('a', '1', 0)).toMatchObject({kind: 'committed', rows: [{key: 'a', value: '1'}]});
			const conflict = await write('a', '2', 0);
			expect(conflict).toMatchObject({kind: 'conflict', rows: [{key: 'a', value: '1'}]});
			expect(await write('a', '3', await revisionOf('a'))).toMatchObject({kind: 'committed'});
		});

		test('one failed check prevents all writes', async () => {
			await write('a', '1', 0);
			const result = await fixture.platform.table.transact({
				checks: [{key: 'a', revision: 0}, {key: 'b', revision: 0}],
				writes: [{key: 'b', value: 'x'}, {key: 'c', value: 'x'}],
			});
			expect(result._unsafeUnwrap().kind).toBe('conflict');
			expect(await revisionOf('b')).toBe(0);
			expect(await revisionOf('c')).toBe(0);
		});

		test('a row that is deleted and written again has a higher revision', async () => {
			await write('a', '1', 0);
			const before = await revisionOf('a');
			await write('a', undefined, before);
			expect(await revisionOf('a')).toBe(0);
			await write('a', '2', 0);
			expect(await revisionOf('a')).toBeGreaterThan(before);
		});

		test('exactly one of several concurrent transactions on the same revision commits', async () => {
			const results = await Promise.all(Array.from({length: 8}, async (_, index) => write('a', String(index), 0)));
			expect(results.filter(result => result.kind === 'committed')).toHaveLength(1);
		});

		test('a scan returns rows in key order, after a key, within a prefix and a limit', async () => {
			const keys = ['p/3', 'p/1', 'q/1', 'p/2', 'p/4 ü&?'];
			await fixture.platform.table.transact({checks: [], writes: keys.map(key => ({key, value: key}))});
			const rows = await fixture.platform.table.scan({prefix: 'p/', after: 'p/1', limit: 2});
			expect(rows._unsafeUnwrap().map(row => row.key)).toEqual(['p/2', 'p/3']);
			const last = await fixture.platform.table.scan({prefix: 'p/', after: 'p/3', limit: 2});
			expect(last._unsafeUnwrap().map(row => row.value)).toEqual(['p/4 ü&?']);
		});

		test.each(invalidTransactions)('a transaction with $name is invalid', async ({transaction}) => {
			expect(await unwrapErrorKind(fixture.platform.table.transact(transaction))).toBe('invalid');
		});

		test('objects are stored completely, listed by prefix and removed', async () => {
			const {objects} = fixture.platform;
			const content = 'é'.repeat(100_000);
			await objects.put('x/1 ?&/%2F', content);
			await objects.put('y/1', '');
			expect(await unwrapValue(objects.get('x/1 ?&/%2F'))).toBe(content);
			expect(await unwrapValue(objects.get('y/1'))).toBe('');
			expect(await unwrapValue(objects.list('x/'))).toEqual(['x/1 ?&/%2F']);
			await objects.remove('x/1 ?&/%2F');
			expect(await unwrapValue(objects.get('x/1 ?&/%2F'))).toBeUndefined();
			await unwrapValue(objects.remove('x/1 ?&/%2F'));
		});

		test('an instance is registered, changes its state and is deregistered', async () => {
			const {instances} = fixture.platform;
			await instances.register(instance);
			await instances.register({...instance, state: 'leaving'});
			expect(await unwrapValue(instances.list())).toEqual([{...instance, state: 'leaving'}]);
			await instances.deregister(instance.id);
			expect(await unwrapValue(instances.list())).toEqual([]);
		});

		test('a stale list returns the instances as of when the fault was set', async () => {
			const {instances} = fixture.platform;
			fixture.setFaults([{target: 'instances', kind: 'staleList'}]);
			await instances.register(instance);
			expect(await unwrapValue(instances.list())).toEqual([]);
			fixture.setFaults([]);
			expect(await unwrapValue(instances.list())).toHaveLength(1);
		});

		test.each(writeFaultCases)('a transaction with the fault $kind is $error', async ({kind, error, written}) => {
			fixture.setFaults([{target: 'table', kind, access: 'write'}]);
			const pending = fixture.platform.table.transact({checks: [{key: 'a', revision: 0}], writes: [{key: 'a', value: '1'}]});
			expect(await unwrapErrorKind(pending)).toBe(error);
			fixture.setFaults([]);
			expect(await revisionOf('a') > 0).toBe(written);
		});

		test.each(['error', 'down', 'lostReply'] as const)('reads with the fault %s are unavailable', async kind => {
			const targets = ['table', 'objects', 'instances'] as const;
			fixture.setFaults(targets.map(target => ({target, kind, access: 'read'})));
			const {table, objects, instances} = fixture.platform;
			const results = await Promise.all([
				table.read('a'), table.scan({prefix: '', after: '', limit: 1}), objects.get('a'), objects.list(''), instances.list(),
			]);
			expect(results.map(result => result.isErr() && result.error.kind)).toEqual(results.map(() => 'unavailable'));
		});

		test('a paused call takes effect once the pause ends', async () => {
			fixture.setFaults([{target: 'table', kind: 'pause', access: 'write'}]);
			const pending = write('a', '1', 0);
			expect(await revisionOf('a')).toBe(0);
			fixture.setFaults([]);
			expect(await pending).toMatchObject({kind: 'committed'});
		});
	});
};
