import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {createUpstreamControl, type UpstreamControl} from '../upstreamControl.js';
import {createUpstreamLedger} from '../upstreamLedger.js';
import {createUpstreamStandin, defaultUpstreamBehaviour, type UpstreamStandin} from '../upstreamStandin.js';

let upstreams: UpstreamStandin[];
let control: UpstreamControl;

beforeAll(async () => {
	const ledger = createUpstreamLedger(monotonicClock);
	upstreams = await Promise.all(['a', 'b'].map(async id => createUpstreamStandin({
		endpoint: {
			id, host: '127.0.0.1', port: 0, availabilityZone: 'z', slots: 2,
		},
		behaviour: {...defaultUpstreamBehaviour, serviceTimeMs: {kind: 'constant', milliseconds: 0}},
		clock: monotonicClock,
		random: createRandom(1),
		ledger,
	})));
	control = await createUpstreamControl({
		host: '127.0.0.1', port: 0, upstreams, ledger, clock: monotonicClock,
	});
});

afterAll(async () => {
	await Promise.all(upstreams.map(async upstream => upstream.stop()));
	await control.stop();
});

const call = async (method: string, path: string, body?: string) => fetch(`http://127.0.0.1:${control.port}${path}`, {method, body});

const send = async (index: number) => fetch(`http://127.0.0.1:${upstreams[index]!.endpoint.port}/x`);

test('faults apply only to the named endpoint, until they are cleared', async () => {
	const set = await call('POST', '/faults', JSON.stringify({endpoint: 'a', faults: {shedding: true}}));
	expect(set.status).toBe(200);
	const [faulty, healthy] = await Promise.all([send(0), send(1)]);
	expect([faulty.status, healthy.status]).toEqual([503, 200]);
	await call('DELETE', '/faults');
	const after = await send(0);
	expect(after.status).toBe(200);
});

test('the ledger and the statistics count runs and can be reset', async () => {
	await Promise.all([call('DELETE', '/ledger'), call('DELETE', '/statistics')]);
	await send(0);
	const ledger = await call('GET', '/ledger?runs');
	expect(await ledger.json()).toMatchObject({counts: {started: 1, completed: 1}, runs: [{endpoint: 'a', end: 'completed'}]});
	const statistics = await call('GET', '/statistics');
	expect(await statistics.json()).toMatchObject({
		endpoints: {
			a: {
				slots: 2, inUse: 0, overSlotsMs: 0, startsPerSecond: [1],
			}, b: {startsPerSecond: []},
		},
	});
});

test.each([
	{
		name: 'a body that is not JSON', method: 'POST', path: '/faults', body: '{', status: 400,
	},
	{
		name: 'an unknown fault', method: 'POST', path: '/faults', body: '{"faults":{"melting":true}}', status: 400,
	},
	{
		name: 'a probability above 1', method: 'POST', path: '/faults', body: '{"faults":{"failBeforeProbability":2}}', status: 400,
	},
	{
		name: 'an unknown endpoint', method: 'POST', path: '/faults', body: '{"endpoint":"c","faults":{}}', status: 404,
	},
	{
		name: 'an unknown path', method: 'GET', path: '/other', body: undefined, status: 404,
	},
])('$name is rejected', async ({method, path, body, status}) => {
	const answer = await call(method, path, body);
	expect(answer.status).toBe(status);
});
