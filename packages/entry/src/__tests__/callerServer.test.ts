import {Buffer} from 'node:buffer';
import {afterEach, expect, test} from 'vitest';
import {
	call, callRaw, createCleanup, serviceWith, startEntry, startUpstream,
} from './testEntry.js';

const cleanup = createCleanup();
afterEach(async () => cleanup.run());

const startEchoUpstream = async () => startUpstream(cleanup, (request, response) => {
	const chunks: Uint8Array[] = [];
	request.on('data', (chunk: Uint8Array) => chunks.push(chunk));
	request.once('end', () => {
		response.setHeader('content-type', 'application/json');
		response.setHeader('x-upstream-load', JSON.stringify({
			state: 'serving', slots: 4, inUse: 0, queued: 0,
		}));
		response.end(JSON.stringify({
			url: request.url, method: request.method, headers: request.headers, body: Buffer.concat(chunks).toString('utf8'),
		}));
	});
});

test('a request is forwarded without the service prefix, with the remaining deadline and a request id', async () => {
	const {port} = await startEntry(cleanup, [serviceWith([await startEchoUpstream()])]);
	const answer = await call(port, {path: '/inventory/item?a=1', headers: {'x-filbertwell-deadline-ms': '1000', connection: 'x-private', 'x-private': '1'}});
	const seen = JSON.parse(answer.body) as {url: string; headers: Record<string, string>};
	expect(answer.status).toBe(200);
	expect(seen.url).toBe('/item?a=1');
	expect(Number(seen.headers['x-filbertwell-deadline-ms'])).toBeLessThanOrEqual(1000);
	expect(seen.headers['x-filbertwell-request-id']).toBe(answer.headers['x-filbertwell-request-id']);
	expect(seen.headers['x-private']).toBeUndefined();
	expect(answer.headers['x-upstream-load']).toBeUndefined();
	expect(answer.headers['x-filbertwell-outcome']).toBeUndefined();
});

test('the host selects a service if no path prefix matches', async () => {
	const {port} = await startEntry(cleanup, [serviceWith([await startEchoUpstream()])]);
	const answer = await call(port, {path: '/item', headers: {host: 'Inventory.test:8080'}});
	expect(JSON.parse(answer.body)).toMatchObject({url: '/item'});
});

test('a resent at-most-once request gets the stored response', async () => {
	const {port} = await startEntry(cleanup, [serviceWith([await startEchoUpstream()])]);
	const order = {
		path: '/inventory/order/1', method: 'POST', headers: {'idempotency-key': 'k1'}, body: 'two wheels',
	};
	const first = await call(port, order);
	const second = await call(port, order);
	expect(first.status).toBe(200);
	expect(JSON.parse(first.body)).toMatchObject({body: 'two wheels'});
	expect(first.headers['x-filbertwell-outcome']).toBeUndefined();
	expect(second.headers['x-filbertwell-outcome']).toBe('replayed');
	expect(second.body).toBe(first.body);
	const status = await call(port, {path: '/orders?service=inventory&key=k1'});
	expect(JSON.parse(status.body)).toMatchObject({state: 'done'});
});

test.each([
	{
		name: 'unknown service', request: {path: '/nothing'}, status: 404, outcome: 'invalid', expectedText: 'inventory',
	},
	{
		name: 'deadline in the past', request: {headers: {'x-filbertwell-deadline-ms': '-5'}}, status: 504, outcome: 'not-run', expectedText: 'has passed',
	},
	{
		name: 'deadline of zero', request: {headers: {'x-filbertwell-deadline-ms': '0'}}, status: 504, outcome: 'not-run', expectedText: 'has passed',
	},
	{
		name: 'first attempt of an at-most-once request past its deadline',
		request: {path: '/inventory/order/1', method: 'POST', headers: {'x-filbertwell-deadline-ms': '0', 'x-filbertwell-attempt': '1'}},
		status: 504,
		outcome: 'not-run',
		expectedText: 'has passed',
	},
	{
		name: 'later attempt of an at-most-once request past its deadline',
		request: {path: '/inventory/order/1', method: 'POST', headers: {'x-filbertwell-deadline-ms': '0', 'x-filbertwell-attempt': '2'}},
		status: 504,
		outcome: 'in-doubt',
		expectedText: 'has passed',
	},
	{
		name: 'look-up while no entry serves', request: {path: '/lookup?service=lonely'}, status: 503, outcome: 'not-run', expectedText: 'no entry serves',
	},
	{
		name: 'deadline that is not a number', request: {headers: {'x-filbertwell-deadline-ms': '1e3'}}, status: 400, outcome: 'invalid', expectedText: '1e3',
	},
	{
		name: 'attempt that is not a number', request: {headers: {'x-filbertwell-attempt': 'one'}}, status: 400, outcome: 'invalid', expectedText: 'one',
	},
	{
		name: 'at-most-once request without a key', request: {path: '/inventory/order/1', method: 'POST', body: 'x'}, status: 400, outcome: 'invalid', expectedText: 'idempotency-key',
	},
	{
		name: 'declared body over the limit', request: {method: 'POST', headers: {'content-length': '9000000'}}, status: 413, outcome: 'not-run', expectedText: '1000000',
	},
	{
		name: 'tenant with a space', request: {headers: {'x-filbertwell-tenant': 'a b'}}, status: 400, outcome: 'invalid', expectedText: 'a b',
	},
	{
		name: 'look-up without a service', request: {path: '/lookup'}, status: 400, outcome: 'invalid', expectedText: 'service',
	},
	{
		name: 'look-up of an unknown service', request: {path: '/lookup?service=x'}, status: 404, outcome: 'invalid', expectedText: 'inventory',
	},
	{
		name: 'look-up for an invalid address', request: {path: '/lookup?service=inventory&address=1.2.3'}, status: 400, outcome: 'invalid', expectedText: '1.2.3',
	},
])('$name is refused', async ({request, status, outcome, expectedText}) => {
	const {port} = await startEntry(cleanup, [serviceWith([await startEchoUpstream()])]);
	const answer = await call(port, request);
	expect(answer.status).toBe(status);
	expect(answer.headers['x-filbertwell-outcome']).toBe(outcome);
	expect(answer.body).toContain(expectedText);
});

test.each([
	{name: 'Content-Length and Transfer-Encoding', head: 'POST /inventory/a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', status: 400},
	{name: 'two Content-Length headers', head: 'POST /inventory/a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd', status: 400},
	{name: 'oversized headers', head: `GET /inventory/a HTTP/1.1\r\nhost: x\r\nx-large: ${'a'.repeat(20_000)}\r\n\r\n`, status: 431},
	{name: 'text that is not HTTP', head: 'hello\r\n\r\n', status: 400},
	{name: 'an absolute URL as target', head: 'GET http://a/inventory/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n', status: 400},
])('a request with $name is refused as invalid', async ({head, status}) => {
	let runs = 0;
	const upstream = await startUpstream(cleanup, (_request, response) => {
		runs += 1;
		response.end();
	});
	const {port} = await startEntry(cleanup, [serviceWith([upstream])]);
	const received = await callRaw(port, head);
	expect(received).toMatch(new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
	expect(received).toContain('x-filbertwell-outcome: invalid');
	expect(runs).toBe(0);
});
