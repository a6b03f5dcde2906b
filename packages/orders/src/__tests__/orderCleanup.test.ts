import {setImmediate as nextTurn} from 'node:timers/promises';
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import {silentLogger, type Logger} from '@filbertwell/logger/logger';
import {createLease} from '@filbertwell/platform/lease';
import {createMemoryPlatform, type MemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {errAsync} from 'neverthrow';
import {expect, test} from 'vitest';
import {runOrderCleanup, type OrderCleanupOptions} from '../orderCleanup.js';
import {serializeOrderRow} from '../orderRow.js';

const start = async (platform: MemoryPlatform, holder: string, signal: AbortSignal, isCandidate = () => true, overrides: Partial<OrderCleanupOptions> = {}) => runOrderCleanup({
	lease: createLease({
		table: platform.table, name: 'order-cleanup', holder, termMs: 60_000, clock: monotonicClock, log: silentLogger,
	}),
	isCandidate,
	leaseIntervalMs: 1,
	passIntervalMs: 60_000,
	retentionMs: 1000,
	pagePauseMs: 0,
	table: platform.table,
	objects: platform.objects,
	clock: monotonicClock,
	wallClock: () => 5000,
	random: createRandom(1),
	log: silentLogger,
	signal,
	...overrides,
});

test('one of two processes removes the expired rows', async () => {
	const platform = createMemoryPlatform();
	for (const claimedAt of [0, 4500]) {
		const value = serializeOrderRow({
			state: 'released', token: 't', fingerprint: 'f', attempt: 1, claimedAt, reason: 'refused',
		});
		platform.state.transact({checks: [], writes: [{key: `orders/s/${claimedAt}`, value}]});
	}

	const stopping = new AbortController();
	const running = [start(platform, 'a', stopping.signal), start(platform, 'b', stopping.signal)];
	while (platform.state.read('orders/s/0') !== undefined) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- polls the condition
	}

	stopping.abort();
	await Promise.all(running);
	expect(platform.state.read('orders/s/4500')).toBeDefined();
});

test('a process that is not a candidate does not touch the lease', async () => {
	const platform = createMemoryPlatform();
	const stopping = new AbortController();
	let checks = 0;
	await start(platform, 'a', stopping.signal, () => {
		checks += 1;
		if (checks === 3) {
			stopping.abort();
		}

		return false;
	});
	const rows = await platform.table.scan({prefix: '', after: '', limit: 10});
	expect(rows._unsafeUnwrap()).toEqual([]);
});

test('a pass that fails is logged, and the next one removes the expired rows', async () => {
	const platform = createMemoryPlatform();
	const value = serializeOrderRow({
		state: 'released', token: 't', fingerprint: 'f', attempt: 1, claimedAt: 0, reason: 'refused',
	});
	platform.state.transact({checks: [], writes: [{key: 'orders/s/0', value}]});
	let scans = 0;
	const logged: number[] = [];
	const log: Logger = event => {
		logged.push(event.number);
	};

	const stopping = new AbortController();
	const running = start(platform, 'a', stopping.signal, () => true, {
		passIntervalMs: 1,
		log,
		table: {
			...platform.table,
			scan(range) {
				scans += 1;
				return scans === 1 ? errAsync({kind: 'unavailable', operation: 'scan', detail: 'status 503'}) : platform.table.scan(range);
			},
		},
	});
	while (platform.state.read('orders/s/0') !== undefined) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- polls the condition
	}

	stopping.abort();
	await running;
	expect(logged).toContain(ordersEvents.cleanupFailed.number);
});
