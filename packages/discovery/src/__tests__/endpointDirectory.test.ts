import {createManualClock} from '@filbertwell/utils/clock';
import type {Logger} from '@filbertwell/logger/logger';
import type {DiscoveredEndpoint} from '@filbertwell/types/discoveredEndpoint';
import {err, ok} from 'neverthrow';
import {describe, expect, test} from 'vitest';
import {createEndpointDirectory} from '../endpointDirectory.js';

const endpoint = (id: string, overrides: Partial<DiscoveredEndpoint> = {}): DiscoveredEndpoint => ({
	id, startedAtUnixMs: 10, sequence: 1, service: 'orders', host: '127.0.0.1', port: 8080, availabilityZone: 'south-a', slots: 4, state: 'ready', coldForMs: 0, ...overrides,
});

const createFixture = () => {
	const clock = createManualClock();
	const events: string[] = [];
	const log: Logger = (event, fields) => {
		events.push(`${event.name} ${String(fields?.endpoint ?? fields?.key ?? '')}`);
	};

	const directory = createEndpointDirectory({
		clock: clock.now, log, decode: (_, value) => value === 'forged' ? err('no JSON') : ok(JSON.parse(value) as DiscoveredEndpoint),
	});
	const put = (value: DiscoveredEndpoint) => {
		directory.apply({rows: [{key: value.id, value: JSON.stringify(value)}], staleForMs: 0});
	};

	const remove = (ids: readonly string[], staleForMs = 0) => {
		directory.apply({rows: ids.map(key => ({key, value: undefined})), staleForMs});
	};

	return {
		clock, directory, events, put, remove, ids: () => [...directory.endpoints().keys()].toSorted(),
	};
};

describe('registrations', () => {
	test('a removed registration removes its endpoint', () => {
		const {put, remove, ids} = createFixture();
		put(endpoint('a'));
		put(endpoint('b'));
		remove(['a']);
		expect(ids()).toEqual(['b']);
	});

	test('an invalid registration is logged and does not replace the current one', () => {
		const {directory, events, put} = createFixture();
		put(endpoint('a'));
		directory.apply({rows: [{key: 'a', value: 'forged'}, {key: 'z', value: 'forged'}], staleForMs: 0});
		expect([...directory.endpoints().keys()]).toEqual(['a']);
		expect(events.filter(event => event.startsWith('registrationRejected'))).toEqual(['registrationRejected a', 'registrationRejected z']);
	});

	test.each([
		['a lower sequence of the same start', {sequence: 4}, {sequence: 3, state: 'ready'}],
		['an earlier start with a higher sequence', {startedAtUnixMs: 20}, {startedAtUnixMs: 10, sequence: 99, state: 'ready'}],
	] as const)('%s does not replace a later one', (_, current, outdated) => {
		const {directory, put} = createFixture();
		put(endpoint('a', {...current, state: 'draining'}));
		put(endpoint('a', outdated));
		expect(directory.endpoints().get('a')!.endpoint.state).toBe('draining');
	});

	test('a later start replaces an earlier one although its sequence is lower', () => {
		const {clock, directory, put} = createFixture();
		put(endpoint('a', {sequence: 50}));
		clock.advance(1000);
		put(endpoint('a', {startedAtUnixMs: 20, sequence: 1, coldForMs: 3000}));
		expect(directory.endpoints().get('a')).toMatchObject({firstSeenAtMs: 1000, coldUntilMs: 4000});
	});
});

describe('registrations that expire during an outage of the store', () => {
	test('are kept until the time to renew them has passed', () => {
		const {clock, directory, put, remove, ids} = createFixture();
		put(endpoint('a'));
		put(endpoint('b'));
		remove(['a', 'b'], 6000);
		expect(ids()).toEqual(['a', 'b']);
		clock.advance(1500);
		put(endpoint('a', {sequence: 2}));
		clock.advance(600);
		expect(directory.removeExpired()).toBe(true);
		expect(ids()).toEqual(['a']);
		expect(directory.removeExpired()).toBe(false);
	});

	test('are kept if many of one service are removed at once; those of other services are removed', () => {
		const {put, remove, ids} = createFixture();
		for (const id of ['a', 'b', 'c', 'd']) {
			put(endpoint(id));
		}

		put(endpoint('other', {service: 'stock'}));
		remove(['a', 'b', 'c', 'other']);
		expect(ids()).toEqual(['a', 'b', 'c', 'd']);
	});

	test('are removed immediately if the endpoint was draining', () => {
		const {put, remove, ids} = createFixture();
		put(endpoint('a', {state: 'draining'}));
		remove(['a'], 6000);
		expect(ids()).toEqual([]);
	});
});
