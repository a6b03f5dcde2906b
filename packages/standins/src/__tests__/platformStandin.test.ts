import {silentLogger} from '@filbertwell/logger/logger';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {describePlatformContract} from '../../../platform/src/__tests__/platformContract.js';
import type {PlatformStatistics} from '../platformStatistics.js';
import {createPlatformStandin, type PlatformStandin} from '../platformStandin.js';

const createClient = (standin: PlatformStandin) => createHttpPlatform({
	address: standin.address, timeoutMs: 10_000, clock: monotonicClock, random: createRandom(1), log: silentLogger,
});

describePlatformContract('HTTP', async () => {
	const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	const platform = createClient(standin);
	return {
		platform,
		setFaults: standin.setFaults,
		async close() {
			platform.close();
			await standin.close();
		},
	};
});

describe('fault commands', () => {
	let standin: PlatformStandin;
	beforeEach(async () => {
		standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	});
	afterEach(async () => {
		await standin.close();
	});

	const send = async (method: string, path: string, body?: string) => {
		const {host, port} = standin.address;
		return fetch(`http://${host}:${port}${path}`, {method, body});
	};

	const statusOf = async (method: string, path: string, body?: string): Promise<number> => {
		const {status} = await send(method, path, body);
		return status;
	};

	test('faults are set, counted down and cleared over HTTP', async () => {
		const command = {faults: [{target: 'table', kind: 'error', count: 1}], seed: 7};
		expect(await statusOf('POST', '/faults', JSON.stringify(command))).toBe(204);
		expect(await statusOf('GET', '/table/row?key=a')).toBe(503);
		expect(await statusOf('GET', '/table/row?key=a')).toBe(200);
		await send('POST', '/faults', JSON.stringify(command));
		await send('DELETE', '/faults');
		expect(await statusOf('GET', '/table/row?key=a')).toBe(200);
	});

	test.each([
		['POST', '/faults', '{'],
		['POST', '/faults', '{"faults":[{"target":"disk","kind":"down"}]}'],
		['POST', '/faults', '{"faults":[{"target":"table","kind":"down","typo":1}]}'],
		['POST', '/table/transact', '{'],
		['POST', '/table/transact', '[]'],
		['POST', '/instances', '{}'],
		['GET', '/table/rows?limit=-1', undefined],
	])('%s %s with %s is a bad request', async (method, path, body) => {
		expect(await statusOf(method, path, body)).toBe(400);
	});

	test('statistics count reads, writes and calls by operation', async () => {
		const platform = createClient(standin);
		await platform.table.read('a');
		await platform.objects.put('o', 'x');
		const answer = await send('GET', '/statistics');
		const statistics = await answer.json() as PlatformStatistics;
		expect(statistics).toMatchObject({reads: 1, writes: 1, bytesReceived: 1});
		expect(Object.entries(statistics.operations)).toEqual([['table.read', 1], ['objects.put', 1]]);
		platform.close();
	});
});
