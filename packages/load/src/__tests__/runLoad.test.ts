import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {defaultLoadPlan, type LoadPlan, type RouteLoad} from '../loadPlan.js';
import {runLoad} from '../runLoad.js';

type Handler = (request: IncomingMessage, response: ServerResponse, attempt: number) => void;

const servers: Server[] = [];

afterEach(async () => {
	for (const server of servers.splice(0)) {
		server.closeAllConnections();
		server.close();
	}
});

const createOwnAnswer = (request: IncomingMessage) => JSON.stringify({requestId: request.headers['x-filbertwell-request-id'], key: request.headers['idempotency-key']});

const startEntry = async (handle: Handler) => {
	let lookups = 0;
	const server: Server = createServer((request, response) => {
		const {port} = server.address() as AddressInfo;
		if (request.url!.startsWith('/lookup')) {
			lookups += 1;
			response.end(JSON.stringify({addresses: [{entry: 'e', host: '127.0.0.1', port}], lifetimeSeconds: 60}));
			return;
		}

		handle(request, response, Number(request.headers['x-filbertwell-attempt'] ?? 1));
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {lookups: () => lookups, address: {host: '127.0.0.1', port: (server.address() as AddressInfo).port}};
};

const order: RouteLoad = {
	name: 'order', service: 's', method: 'POST', path: '/s/orders', kind: 'atMostOnce', requestClass: 'critical', weight: 1, bodyBytes: 10, deadlineMs: 2000,
};

const createPlan = (entries: LoadPlan['entries'], overrides: Partial<LoadPlan> = {}): LoadPlan => ({
	...defaultLoadPlan, entries, routes: [order], requestsPerSecond: 200, durationMs: 100, callers: 2, seed: 1, ...overrides,
});

const refuse: Handler = (_request, response) => {
	response.writeHead(503, {'x-filbertwell-outcome': 'not-run'}).end('full');
};

const cases: ReadonlyArray<{readonly name: string; readonly handle: Handler; readonly outcome: string; readonly attempts: readonly string[]}> = [
	{
		name: 'a response ends the request', handle: (request, response) => response.end(createOwnAnswer(request)), outcome: 'answered', attempts: ['answered'],
	},
	{
		name: 'a request is retried with the same key if the response is lost',
		handle: (request, response, attempt) => attempt === 1 ? response.destroy() : response.writeHead(200, {'x-filbertwell-outcome': 'replayed'}).end(createOwnAnswer(request)),
		outcome: 'answered',
		attempts: ['lost', 'replayed'],
	},
	{
		name: 'an incomplete response is detected',
		handle(request, response, attempt) {
			response.writeHead(200, {'content-length': 500});
			if (attempt === 1) {
				response.write('half', () => response.destroy());
			} else {
				response.end(createOwnAnswer(request).padEnd(500));
			}
		},
		outcome: 'answered',
		attempts: ['cut-off', 'answered'],
	},
	{
		name: 'a response to another request is detected',
		handle: (request, response, attempt) => response.end(attempt === 1 ? '{"key":"other"}' : createOwnAnswer(request)),
		outcome: 'answered',
		attempts: ['foreign', 'answered'],
	},
	{
		name: 'refused requests are retried up to the maximum number of attempts', handle: refuse, outcome: 'not-run', attempts: ['not-run', 'not-run', 'not-run'],
	},
];

test.each(cases)('$name', async ({handle, outcome, attempts}) => {
	const entry = await startEntry(handle);
	const {records, requests} = await runLoad(createPlan([entry.address], {maximumAtMostOnceAttempts: 3}));
	expect(records.length).toBe(requests);
	for (const record of records) {
		expect(record.outcome).toBe(outcome);
		expect(record.attempts.map(attempt => attempt.outcome)).toEqual(attempts);
	}
});

test('each caller caches look-ups for their lifetime', async () => {
	const entry = await startEntry((request, response) => response.end(createOwnAnswer(request)));
	await runLoad(createPlan([entry.address], {callers: 1}));
	expect(entry.lookups()).toBe(1);
});

test('requests are retried at another entry if one is unreachable', async () => {
	const entry = await startEntry((request, response) => response.end(createOwnAnswer(request)));
	const {outcomes, requests} = await runLoad(createPlan([{host: '127.0.0.1', port: 1}, entry.address], {entryChoice: 'fixed', maximumAtMostOnceAttempts: 30}));
	expect(outcomes).toEqual({answered: requests});
});

test('the state of an in-doubt request is queried', async () => {
	const entry = await startEntry((request, response) => {
		if (request.url!.startsWith('/orders?')) {
			response.end('{"state":"done"}');
		} else {
			response.writeHead(504, {'x-filbertwell-outcome': 'in-doubt'}).end();
		}
	});
	const {records} = await runLoad(createPlan([entry.address]));
	expect(records[0]).toMatchObject({outcome: 'answered', isStateKnown: true});
});

test('arrivals do not wait for slow responses', async () => {
	const pendingResponses: Array<() => void> = [];
	let expected = 0;
	const entry = await startEntry((request, response) => {
		pendingResponses.push(() => response.end(createOwnAnswer(request)));
		if (pendingResponses.length === expected) {
			for (const respond of pendingResponses) {
				respond();
			}
		}
	});
	const dryRun = await runLoad(createPlan([{host: '127.0.0.1', port: 1}], {entryChoice: 'fixed', routes: [{...order, kind: 'idempotent'}]}));
	expected = dryRun.requests;
	const {outcomes} = await runLoad(createPlan([entry.address], {entryChoice: 'fixed'}));
	expect(outcomes).toEqual({answered: expected});
});
