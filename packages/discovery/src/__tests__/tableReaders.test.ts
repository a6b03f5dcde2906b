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

const sourcesOf = (instances: readonly ReaderCandidate[], nowMs = () => 0) => instances
	.map(self => ({self, readers: createTableReaders({clock: nowMs, self, instances: () => instances})}));

const readersOf = (instances: readonly ReaderCandidate[]) => sourcesOf(instances).filter(({readers}) => readers.source() === undefined).map(({self}) => self.id);

describe('readers of the store', () => {
	test('are all instances of a small deployment', () => {
		expect(readersOf(deployment(8))).toHaveLength(8);
	});

	test('are one in each zone of a large one, and do not grow with it', () => {
		expect(readersOf(deployment(80))).toHaveLength(6);
		expect(readersOf(deployment(300))).toHaveLength(6);
	});

	test('are followed by the instances of their own zone', () => {
		const instances = deployment(80);
		const zoneOf = new Map(instances.map(({id, availabilityZone}) => [id, availabilityZone]));
		for (const {self, readers} of sourcesOf(instances)) {
			const source = readers.source();
			expect(source === undefined || zoneOf.get(source.id) === self.availabilityZone).toBe(true);
		}
	});

	test('change only in the zone of one that goes', () => {
		const instances = deployment(80);
		const [gone] = readersOf(instances);
		const before = new Set(readersOf(instances));
		const after = readersOf(instances.filter(({id}) => id !== gone));
		expect(after.filter(id => !before.has(id))).toHaveLength(1);
	});

	test('that are avoided are replaced by one of the region for a while, then by the store', () => {
		let nowMs = 0;
		const instances = deployment(80);
		const {readers} = sourcesOf(instances, () => nowMs).find(({readers}) => readers.source() !== undefined)!;
		const first = readers.source()!;
		readers.avoid(first.id);
		const second = readers.source()!;
		expect(second.id).not.toBe(first.id);
		readers.avoid(second.id);
		expect(readers.source()).toBeUndefined();
		nowMs = 3001;
		expect(readers.source()?.id).toBe(first.id);
	});

	test('none are followed by an instance that knows no others yet', () => {
		const self = instance(0);
		expect(createTableReaders({clock: () => 0, self, instances: () => []}).source()).toBeUndefined();
	});
});
