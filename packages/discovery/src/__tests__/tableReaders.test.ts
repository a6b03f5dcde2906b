import {describe, expect, test} from 'vitest';
import {largestRetryJitter, readTimesOf} from '../readTimes.js';
import {createTableReaders, type ReaderCandidate} from '../tableReaders.js';

const regions = ['north', 'south', 'central'];
const times = readTimesOf({planMs: 4000, drainMs: 4000, contactMs: 5000});

const instance = (index: number): ReaderCandidate => ({
	id: `instance-${index}`, region: regions[index % regions.length]!, capacity: index < 30 ? 1.35 : 0.27, isServing: true, peerAddress: {host: '127.0.0.1', port: index},
});

const deployment = (size: number) => Array.from({length: size}, (_, index) => instance(index));

const createReadersOf = (instances: readonly ReaderCandidate[], nowMs = () => 0) => instances
	.map(self => ({
		self, readers: createTableReaders({
			clock: nowMs, self, instances: () => instances, times: () => times,
		}),
	}));

const readerIdsOf = (instances: readonly ReaderCandidate[]) => createReadersOf(instances).filter(({readers}) => readers.isReader()).map(({self}) => self.id);

describe('readers of the store', () => {
	test('are all instances of a small deployment', () => {
		expect(readerIdsOf(deployment(16))).toHaveLength(16);
	});

	test.each([[27, 3], [80, 3], [195, 6], [890, 24]])('of %i instances are %i', (size, count) => {
		const ids = readerIdsOf(deployment(size));
		expect(ids).toHaveLength(count);
	});

	test('are large instances', () => {
		const capacities = new Map(deployment(195).map(({id, capacity}) => [id, capacity]));
		expect(readerIdsOf(deployment(195)).map(id => capacities.get(id))).toEqual(Array.from({length: 6}, () => 1.35));
	});

	test('are followed by the instances of their own region, in equal parts, before those of other regions', () => {
		const instances = deployment(195);
		const regionOf = new Map(instances.map(({id, region}) => [id, region]));
		const followers = new Map<string, number>();
		for (const {self, readers} of createReadersOf(instances).filter(({readers}) => !readers.isReader())) {
			const order = readers.readersToFollow();
			expect(order.map(({id}) => regionOf.get(id) === self.region)).toEqual([true, true, false, false, false, false]);
			followers.set(order[0]!.id, (followers.get(order[0]!.id) ?? 0) + 1);
		}

		expect(Math.max(...followers.values())).toBeLessThanOrEqual(45);
	});

	test('change only in the region of a removed reader', () => {
		const instances = deployment(80);
		const [removed] = readerIdsOf(instances);
		const before = new Set(readerIdsOf(instances));
		const after = readerIdsOf(instances.filter(({id}) => id !== removed));
		expect(after.filter(id => !before.has(id))).toHaveLength(1);
	});

	test('have a plan, unless no instance of their region has one', () => {
		const restarted = deployment(80).map(candidate => ({...candidate, isServing: candidate.region === 'north' ? Number(candidate.id.slice(9)) > 40 : false}));
		const northern = readerIdsOf(restarted).filter(id => restarted.find(candidate => candidate.id === id)!.region === 'north');
		expect(northern.every(id => Number(id.slice(9)) > 40)).toBe(true);
		expect(readerIdsOf(restarted)).toHaveLength(3);
	});

	test('are not followed while they are excluded', () => {
		let nowMs = 0;
		const {readers} = createReadersOf(deployment(80), () => nowMs).find(({readers}) => !readers.isReader())!;
		const order = readers.readersToFollow().map(({id}) => id);
		for (const [position, id] of order.entries()) {
			readers.avoid(id);
			expect(readers.readersToFollow().map(other => other.id)).toEqual(order.slice(position + 1));
		}

		nowMs = 3001;
		expect(readers.readersToFollow().map(({id}) => id)).toEqual(order);
	});
});

describe('times of reads', () => {
	test.each([
		{planMs: 2000, drainMs: 2000, contactMs: 3000},
		{planMs: 2500, drainMs: 2500, contactMs: 4000},
		{planMs: 3000, drainMs: 3000, contactMs: 4000},
		{planMs: 4000, drainMs: 4000, contactMs: 5000},
	])('keep the bounds: plan $planMs ms, drain $drainMs ms, contact $contactMs ms', bounds => {
		const {storeWaitMs, readerStoreWaitMs, answerMs, staleAfterMs, maximumRetryMs} = readTimesOf(bounds);
		const retryMs = 375;
		expect(storeWaitMs + answerMs + retryMs).toBeLessThanOrEqual(bounds.contactMs);
		expect(Math.max(maximumRetryMs * largestRetryJitter, answerMs) + answerMs).toBeLessThanOrEqual(bounds.contactMs);
		expect(readerStoreWaitMs).toBeLessThan(staleAfterMs);
		expect(staleAfterMs + 800).toBeLessThanOrEqual(Math.min(bounds.planMs, bounds.drainMs));
	});
});
