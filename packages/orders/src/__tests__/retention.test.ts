import {silentLogger} from '@filbertwell/logger/logger';
import {createMemoryPlatform} from '@filbertwell/platform/memoryPlatform';
import {expect, test} from 'vitest';
import {serializeOrderRow, type OrderRow} from '../orderRow.js';
import {removeExpiredOrders} from '../retention.js';

const retentionMs = 1000;

const setUp = async (count: number) => {
	const platform = createMemoryPlatform();
	const rowAt = (claimedAt: number): OrderRow => ({
		state: 'done', token: 't', fingerprint: 'f', attempt: 1, claimedAt, kept: {kind: 'object', objectKey: `order-answers/${claimedAt}`, status: 200},
	});
	for (let index = 0; index < count; index += 1) {
		platform.state.transact({checks: [], writes: [{key: `orders/s/${String(index).padStart(4, '0')}`, value: serializeOrderRow(rowAt(index))}]});
		platform.state.putObject(`order-answers/${index}`, '{}');
	}

	platform.state.transact({checks: [], writes: [{key: 'lease', value: 'me'}]});
	const lease = platform.state.read('lease')!;
	const options = {
		table: platform.table, objects: platform.objects, log: silentLogger, retentionMs, fence: () => ({key: 'lease', revision: lease.revision}), pause: async () => undefined,
	};
	return {platform, options};
};

test('only rows past their retention are removed, with their objects', async () => {
	const {platform, options} = await setUp(250);
	const result = await removeExpiredOrders({...options, wallClock: () => 1200});
	expect(result._unsafeUnwrap()).toEqual({seen: 250, removed: 200, leaseLost: false});
	expect(platform.state.listObjects('order-answers/')).toHaveLength(50);
});

test.each([
	{name: 'that is known to be lost', isKnown: true},
	{name: 'that was lost unnoticed', isKnown: false},
])('nothing is removed with a lease $name', async ({isKnown}) => {
	const {platform, options} = await setUp(5);
	platform.state.transact({checks: [], writes: [{key: 'lease', value: 'other'}]});
	const fence = isKnown ? () => undefined : options.fence;
	const result = await removeExpiredOrders({...options, fence, wallClock: () => 10_000});
	expect(result._unsafeUnwrap()).toMatchObject({removed: 0, leaseLost: true});
	expect(platform.state.listObjects('order-answers/')).toHaveLength(5);
});

test('a damaged row is kept and does not end the pass', async () => {
	const {platform, options} = await setUp(3);
	platform.state.transact({checks: [], writes: [{key: 'orders/s/0001', value: 'damaged'}]});
	const result = await removeExpiredOrders({...options, wallClock: () => 10_000});
	expect(result._unsafeUnwrap()).toEqual({seen: 3, removed: 2, leaseLost: false});
	expect(platform.state.read('orders/s/0001')?.value).toBe('damaged');
});
