/**
 * Which instances read the followed tables from the store. In a large deployment a few do; each of the others
 * follows one of them, near ones first.
 */
import {selectPollers} from '@filbertwell/configuration/selectPollers';
import type {AvailabilityZoneName, RegionName, SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';

/** An instance as far as the choice needs it. */
export type ReaderCandidate = {
	readonly id: string;
	readonly region: RegionName;
	readonly availabilityZone: AvailabilityZoneName;
	readonly peerAddress: SocketAddress;
};

/** A reader that can be followed. */
export type TableReader = {
	readonly id: string;
	readonly peerAddress: SocketAddress;
};

/** Choice of the readers. */
export type TableReaders = {
	/** The reader to follow; `undefined` where this instance should read the store itself. */
	readonly source: () => TableReader | undefined;
	/** How long a reading of the store may wait for changes, in milliseconds: its answer also shows that the store is there. */
	readonly storeWaitMs: () => number;
	/** Passes over a reader for a while: it did not answer, or its copy is out of date. */
	readonly avoid: (id: string) => void;
};

/** Parameters of the choice. */
export type TableReadersOptions = {
	readonly clock: Clock;
	readonly self: Omit<ReaderCandidate, 'peerAddress'>;
	/** Instances that serve, this one included. */
	readonly instances: () => readonly ReaderCandidate[];
};

/** Readers in each availability zone: with one gone, those of the region's other zones are followed. */
const readersPerZone = 1;
/** Up to so many instances all read: their calls are few, and none waits for another. */
const allReadUpTo = 16;
/** Waits of a reading of the store where all read, and where others follow this instance and must soon learn of an outage. */
const waitOfAllMs = 2500;
const waitOfReaderMs = 1500;
/** Time for which a reader is passed over, in milliseconds: within it, heartbeats tell whether it lives. */
const avoidedMs = 3000;

/**
 * Creates the choice.
 *
 * @param options - This instance and its peers.
 * @returns The choice.
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
		source() {
			const candidates = instances();
			const readers = selectPollers({members: candidates, pollersPerZone: readersPerZone, allPollUpTo: allReadUpTo});
			if (readers.has(self.id)) {
				return undefined;
			}

			const [nearest] = candidates
				.filter(candidate => readers.has(candidate.id) && distance(candidate) < 2 && (avoidedUntilMs.get(candidate.id) ?? 0) <= clock())
				.toSorted((a, b) => distance(a) - distance(b) || (a.id < b.id ? -1 : 1));
			return nearest;
		},
		storeWaitMs: () => instances().length <= allReadUpTo ? waitOfAllMs : waitOfReaderMs,
		avoid(id) {
			avoidedUntilMs.set(id, clock() + avoidedMs);
		},
	};
};
