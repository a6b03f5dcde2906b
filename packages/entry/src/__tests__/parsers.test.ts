import fc from 'fast-check';
import {expect, test} from 'vitest';
import {endToEndHeaders} from '../hopByHopHeaders.js';
import {parseLoadReport} from '../loadReportParser.js';
import {createServiceIndex} from '../serviceIndex.js';
import {configurationWith, serviceWith} from './testEntry.js';

test('any text parses to a load report or to undefined', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		const report = parseLoadReport(text);
		expect(report === undefined || report.slots >= 0).toBe(true);
	}), {seed: 11, numRuns: 300});
});

test.each(['{"state":"serving","slots":-1,"inUse":0,"queued":0}', '{"state":"gone","slots":1,"inUse":0,"queued":0}', '{"state":"serving","slots":1e9,"inUse":0,"queued":0}', 'null', ''])('the malformed report %j is rejected', text => {
	expect(parseLoadReport(text)).toBeUndefined();
});

test('hop-by-hop headers are removed, including those named by Connection', () => {
	const headers = ['Host', 'a', 'Connection', 'close, X-One', 'x-one', '1', 'X-Two', '2', 'Transfer-Encoding', 'chunked', 'X-Three', '3'];
	expect(endToEndHeaders(headers, new Set(['x-three']))).toStrictEqual(['Host', 'a', 'X-Two', '2']);
});

test.each([
	{path: '/inventory', host: undefined, expected: '/'},
	{path: '/inventory?a=1', host: undefined, expected: '/?a=1'},
	{path: '/inventory/a/b', host: undefined, expected: '/a/b'},
	{path: '/inventory2/a', host: undefined, expected: undefined},
	{path: '/x', host: 'inventory.test:80', expected: '/x'},
	{path: '/x', host: 'other', expected: undefined},
])('$path at host $host is forwarded as $expected', ({path, host, expected}) => {
	const index = createServiceIndex(configurationWith([serviceWith([])]));
	expect(index.match(path, host)?.path).toBe(expected);
});

test('the longest matching prefix selects the service', () => {
	const index = createServiceIndex(configurationWith([serviceWith([], {name: 'a', pathPrefix: '/a'}), serviceWith([], {name: 'b', pathPrefix: '/a/b', hosts: []})]));
	expect(index.match('/a/b/c', undefined)?.service.name).toBe('b');
	expect(index.match('/a/c', undefined)?.service.name).toBe('a');
});
