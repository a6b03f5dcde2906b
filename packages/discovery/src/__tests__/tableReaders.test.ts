import {describe, expect, test} from 'vitest';
import {createTableReaders, type ReaderCandidate} from '../tableReaders.js';

const zones = ['north-a', 'north-b', 'south-a', 'south-b', 'central-a', 'central-b'];

const instance = (index: number): ReaderCandidate => {
	const availabilityZone = zones[index % zones.length]!;
	return {
		id: `instance-${index}`, availabilityZone, region: availabilityZone.split('-')[0]!, peerAddress: {host: '127.0.0.1', port: index},
	};
};

const deployment = (size: number) => Array.from({length: size}, (_, index) => instance(index));

const createReadersOf = (instances: readonly ReaderCandidate[], nowMs = () => 0) => instances
	.map(self => ({self, readers: createTableReaders({clock: nowMs, self, instances: () => instances})}));

const readerIdsOf = (instances: readonly ReaderCandidate[]) => createReadersOf(instances).filter(({readers}) => readers.readerToFollow() === undefined).map(({self}) => self.id);

describe('readers of the store', () => {
	test('are all instances of a small deployment', () => {
		expect(readerIdsOf(deployment(8))).toHaveLength(8);
	});

	test('are one in each zone of a large deployment, independent of its size', () => {
		expect(readerIdsOf(deployment(80))).toHaveLength(6);
		expect(readerIdsOf(deployment(300))).toHaveLength(6);
	});

	test('are followed by the instances of their own zone', () => {
		const instances = deployment(80);
		const zoneOf = new Map(instances.map(({id, availabilityZone}) => [id, availabilityZone]));
		for (const {self, readers} of createReadersOf(instances)) {
			const reader = readers.readerToFollow();
			expect(reader === undefined || zoneOf.get(reader.id) === self.availabilityZone).toBe(true);
		}
	});

	test('change only in the zone of a removed reader', () => {
		const instances = deployment(80);
		const [removed] = readerIdsOf(instances);
		const before = new Set(readerIdsOf(instances));
		const after = readerIdsOf(instances.filter(({id}) => id !== removed));
		expect(after.filter(id => !before.has(id))).toHaveLength(1);
	});

	test('are replaced by another reader of the region while they are excluded, and by the store if no reader is left', () => {
		let nowMs = 0;
		const instances = deployment(80);
		const {readers} = createReadersOf(instances, () => nowMs).find(({readers}) => readers.readerToFollow() !== undefined)!;
		const first = readers.readerToFollow()!;
		readers.avoid(first.id);
		const second = readers.readerToFollow()!;
		expect(second.id).not.toBe(first.id);
		readers.avoid(second.id);
		expect(readers.readerToFollow()).toBeUndefined();
		nowMs = 3001;
		expect(readers.readerToFollow()?.id).toBe(first.id);
	});

	test('are not followed by an instance that has not discovered any peers', () => {
		const self = instance(0);
		expect(createTableReaders({clock: () => 0, self, instances: () => []}).readerToFollow()).toBeUndefined();
	});
});
