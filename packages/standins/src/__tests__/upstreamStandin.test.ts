import {request as httpRequest} from 'node:http';
import {setImmediate as turn} from 'node:timers/promises';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {afterEach, expect, test} from 'vitest';
import type {UpstreamFaults} from '../upstreamFaults.js';
import {createUpstreamLedger} from '../upstreamLedger.js';
import {createUpstreamStandin, defaultUpstreamBehaviour, type UpstreamStandin} from '../upstreamStandin.js';

const started: UpstreamStandin[] = [];

afterEach(async () => {
	await Promise.all(started.splice(0).map(async upstream => upstream.stop()));
});

const start = async (serviceMs = 1) => {
	const ledger = createUpstreamLedger(monotonicClock);
	const upstream = await createUpstreamStandin({
		endpoint: {
			id: 'e1', host: '127.0.0.1', port: 0, availabilityZone: 'z1', slots: 1,
		},
		behaviour: {...defaultUpstreamBehaviour, serviceTimeMs: {kind: 'constant', milliseconds: serviceMs}, queueLimit: 1},
		clock: monotonicClock,
		random: createRandom(1),
		ledger,
	});
	started.push(upstream);
	const url = `http://127.0.0.1:${upstream.endpoint.port}`;
	return {ledger, upstream, url};
};

const headers = (key: string) => ({'idempotency-key': key, 'x-filbertwell-request-id': `${key}-1`});

const waitUntil = async (condition: () => boolean) => {
	while (!condition()) {
		await turn(); // eslint-disable-line no-await-in-loop
	}
};

test('the ledger counts runs by request id and by idempotency key', async () => {
	const {ledger, url} = await start();
	const response = await fetch(`${url}/x?bytes=500`, {headers: headers('k')});
	const text = await response.text();
	expect(text).toHaveLength(500);
	expect(JSON.parse(text)).toEqual({endpoint: 'e1', requestId: 'k-1', key: 'k'});
	expect(JSON.parse(response.headers.get('x-upstream-load')!)).toMatchObject({state: 'serving', slots: 1});
	expect(ledger.report()).toEqual({
		counts: {
			started: 1, completed: 1, cancelled: 0, refused: 0,
		},
		runsByKey: {k: 1},
		runsByRequestId: {'k-1': 1},
	});
});

const outcomes: ReadonlyArray<{readonly name: string; readonly faults: Partial<UpstreamFaults>; readonly status: number | 'reset'; readonly runs: number}> = [
	{
		name: 'rejected before the run', faults: {failBeforeProbability: 1}, status: 503, runs: 0,
	},
	{
		name: 'shed', faults: {shedding: true}, status: 503, runs: 0,
	},
	{
		name: 'failed after the run', faults: {failAfterProbability: 1}, status: 500, runs: 1,
	},
	{
		name: 'response lost after the run', faults: {resetAfterProbability: 1}, status: 'reset', runs: 1,
	},
	{
		name: 'truncated', faults: {truncateProbability: 1}, status: 'reset', runs: 1,
	},
	{
		name: 'down', faults: {down: true}, status: 'reset', runs: 0,
	},
	{
		name: 'leaving, with new requests still run', faults: {leaving: true}, status: 200, runs: 1,
	},
];

test.each(outcomes)('$name', async ({faults, status, runs}) => {
	const {ledger, upstream, url} = await start();
	await upstream.setFaults(faults);
	let actual: number | 'reset' = 'reset';
	try {
		const response = await fetch(`${url}/x`, {headers: headers('k')});
		await response.text();
		actual = response.status;
		if (status === 503) {
			expect(response.headers.get('x-upstream-outcome')).toBe('not-run');
		}
	} catch {}

	expect(actual).toBe(status);
	expect(ledger.report().runsByKey.k ?? 0).toBe(runs);
	await upstream.clearFaults();
	const after = await fetch(`${url}/x`);
	expect(after.status).toBe(200);
});

test('a full queue sheds load, and a caller that disconnects cancels its run', async () => {
	const {ledger, upstream, url} = await start(60_000);
	const running = httpRequest(`${url}/x`, {headers: headers('running')}).end();
	running.on('error', () => undefined);
	await waitUntil(() => ledger.report().counts.started === 1);
	const waiting = httpRequest(`${url}/x`, {headers: headers('waiting')}).end();
	waiting.on('error', () => undefined);
	await waitUntil(() => upstream.statistics().queued === 1);
	const shed = await fetch(`${url}/x`, {headers: headers('shed')});
	expect(shed.status).toBe(503);
	waiting.destroy();
	await waitUntil(() => upstream.statistics().queued === 0);
	running.destroy();
	await waitUntil(() => ledger.report().counts.cancelled === 1);
	expect(ledger.report().runsByKey).toEqual({running: 1});
});

test('a request whose deadline passes in the queue is rejected as not run', async () => {
	const {ledger, url} = await start(60_000);
	const running = httpRequest(`${url}/x`).end();
	running.on('error', () => undefined);
	await waitUntil(() => ledger.report().counts.started === 1);
	const late = await fetch(`${url}/x`, {headers: {...headers('late'), 'x-filbertwell-deadline-ms': '5'}});
	expect(late.headers.get('x-upstream-outcome')).toBe('not-run');
	expect(ledger.report().runsByKey).toEqual({});
	running.destroy();
});

test.each([
	['idle', {inUse: 0}],
	['busy', {inUse: 1, queued: 1}],
] as const)('a false load report shows %s', async (report, expected) => {
	const {upstream, url} = await start();
	await upstream.setFaults({report, leaving: true});
	const response = await fetch(`${url}/_load`);
	expect(await response.json()).toMatchObject({state: 'leaving', ...expected});
});
