/**
 * Selects the instances that read the watched tables from the store, the readers. In a large deployment only a few
 * instances are readers, and each of the others follows the nearest one.
 */
import {selectPollers} from '@filbertwell/configuration/selectPollers';
import type {AvailabilityZoneName, RegionName, SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** An instance that can be selected as a reader. */
export type ReaderCandidate = {
	readonly id: string;
	readonly region: RegionName;
	readonly availabilityZone: AvailabilityZoneName;
	readonly peerAddress: SocketAddress;
};

/** Identity and address of a reader. */
export type TableReader = {
	readonly id: string;
	readonly peerAddress: SocketAddress;
};

/** Selection of the readers from the view of this instance. */
export type TableReaders = {
	/** Returns the reader to follow; `undefined` if this instance is a reader itself or no reader of its region is available. */
	readonly readerToFollow: () => TableReader | undefined;
	/** Longest time that a read of the store may wait for changes, in milliseconds. Its answer also shows that the store is available. */
	readonly storeWaitMs: () => number;
	/** Excludes a reader for 3 s; called when it does not answer. */
	readonly avoid: (id: string) => void;
};

export type TableReadersOptions = {
	readonly clock: Clock;
	readonly self: Omit<ReaderCandidate, 'peerAddress'>;
	/** Serving instances, including this one. */
	readonly instances: () => readonly ReaderCandidate[];
};

/** Number of readers in each availability zone. If one fails, its followers use the readers in other zones of the region. */
const readersPerZone = 1;
/** Number of instances up to which all are readers. Their calls to the store are few, and no instance depends on another. */
const allReadUpTo = 16;
/** Longest wait of one read of the store. It is shorter if there are followers, which must detect an outage quickly. */
const storeWaitWhenAllReadMs = 2500;
const storeWaitOfReaderMs = 1500;
/** Time for which a reader is excluded. It is long enough for heartbeats to show whether the reader is alive. */
const avoidanceMs = 3000;

/**
 * Creates the selection of the readers.
 *
 * @param options - Monotonic clock, this instance and its peers.
 * @returns The selection.
 */
export const createTableReaders = ({clock, self, instances}: TableReadersOptions): TableReaders => {
	const avoidedUntilMs = new Map<string, number>();

	const distance = ({region, availabilityZone}: ReaderCandidate): number => {
		if (availabilityZone === self.availabilityZone) {
			return 0;
		}

		return region === self.region ? 1 : 2;
	};

	return {
		readerToFollow() {
			const candidates = instances();
			const readers = selectPollers({members: candidates, pollersPerZone: readersPerZone, allPollThreshold: allReadUpTo});
			if (readers.has(self.id)) {
				return undefined;
			}

			const [nearest] = candidates
				.filter(candidate => readers.has(candidate.id) && distance(candidate) < 2 && (avoidedUntilMs.get(candidate.id) ?? 0) <= clock())
				.toSorted((a, b) => distance(a) - distance(b) || (a.id < b.id ? -1 : 1));
			return nearest;
		},
		storeWaitMs: () => instances().length <= allReadUpTo ? storeWaitWhenAllReadMs : storeWaitOfReaderMs,
		avoid(id) {
			avoidedUntilMs.set(id, clock() + avoidanceMs);
		},
	};
};
