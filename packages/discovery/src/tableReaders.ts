/**
 * Selects the instances that read the watched tables from the store, the readers. In a large deployment only a few
 * instances of each region are readers, and the others follow one of them.
 */
import type {RegionName, SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import type {ReadTimes} from './readTimes.js';

/** An instance that can be selected as a reader. */
export type ReaderCandidate = {
	readonly id: string;
	readonly region: RegionName;
	/** Processor capacity in cores; `undefined` if it is not known yet. */
	readonly capacity: number | undefined;
	/** Whether the instance has a plan. One that has just started is a reader only if its region has no other instance. */
	readonly isServing: boolean;
	readonly peerAddress: SocketAddress;
};

/** Identity and address of a reader. */
export type TableReader = {
	readonly id: string;
	readonly peerAddress: SocketAddress;
};

/** Selection of the readers from the view of this instance. */
export type TableReaders = {
	/** Readers to ask, in this order. Empty if this instance reads the store: as a reader, in a small deployment or if all readers are excluded. */
	readonly readersToFollow: () => readonly TableReader[];
	/** Whether this instance is a reader or the deployment is small. */
	readonly isReader: () => boolean;
	/** Longest time that a read of the store may wait for changes, in milliseconds. Its answer also shows that the store is available. */
	readonly storeWaitMs: () => number;
	/** Excludes a reader for 3 s; called when it does not answer or has lost the store. */
	readonly avoid: (id: string) => void;
};

export type TableReadersOptions = {
	readonly clock: Clock;
	readonly self: {readonly id: string; readonly region: RegionName};
	/** Instances that do not leave, including this one. */
	readonly instances: () => readonly ReaderCandidate[];
	readonly times: () => ReadTimes;
};

/** Largest number of instances that one reader serves; each of them sends it a few small requests a second. */
const instancesPerReader = 40;
/** Number of instances up to which all are readers. Their calls to the store are few, and no instance depends on another. */
const allReadUpTo = 16;
/** Fraction of the largest capacity in the region from which an instance can be a reader. */
const readerCapacityFraction = 0.5;
const assumedCapacity = 1;
/** Time for which a reader is excluded. It is long enough for heartbeats to show whether the reader is alive. */
const avoidanceMs = 3000;

const selectReadersOfRegion = (region: RegionName, instances: readonly ReaderCandidate[]): readonly ReaderCandidate[] => {
	const serving = instances.filter(({isServing}) => isServing);
	const eligible = serving.length > 0 ? serving : instances;
	const largest = Math.max(...eligible.map(({capacity}) => capacity ?? assumedCapacity));
	const large = new Map(eligible
		.filter(({capacity}) => (capacity ?? assumedCapacity) >= largest * readerCapacityFraction)
		.map(candidate => [candidate.id, candidate]));
	return rendezvousOrder(`table-reader ${region}`, [...large.keys()])
		.slice(0, Math.ceil(instances.length / instancesPerReader))
		.map(id => large.get(id)!);
};

/**
 * Creates the selection of the readers.
 *
 * @param options - Monotonic clock, this instance and its peers.
 * @returns The selection.
 */
export const createTableReaders = ({clock, self, instances, times}: TableReadersOptions): TableReaders => {
	const avoidedUntilMs = new Map<string, number>();

	const isSmall = () => instances().length <= allReadUpTo;

	const selectReaders = (): readonly ReaderCandidate[] => {
		const byRegion = new Map<RegionName, ReaderCandidate[]>();
		for (const candidate of instances()) {
			const members = byRegion.get(candidate.region) ?? [];
			members.push(candidate);
			byRegion.set(candidate.region, members);
		}

		return [...byRegion].flatMap(([region, members]) => selectReadersOfRegion(region, members));
	};

	const isReader = () => isSmall() || selectReaders().some(({id}) => id === self.id);

	return {
		readersToFollow() {
			const readers = isSmall() ? [] : selectReaders();
			if (readers.some(({id}) => id === self.id)) {
				return [];
			}

			const byId = new Map(readers.map(reader => [reader.id, reader]));
			const order = rendezvousOrder(self.id, [...byId.keys()]).map(id => byId.get(id)!);
			return [...order.filter(({region}) => region === self.region), ...order.filter(({region}) => region !== self.region)]
				.filter(({id}) => (avoidedUntilMs.get(id) ?? 0) <= clock());
		},
		isReader,
		storeWaitMs: () => isSmall() ? times().storeWaitMs : times().readerStoreWaitMs,
		avoid(id) {
			for (const [avoidedId, untilMs] of avoidedUntilMs) {
				if (untilMs <= clock()) {
					avoidedUntilMs.delete(avoidedId);
				}
			}

			avoidedUntilMs.set(id, clock() + avoidanceMs);
		},
	};
};
