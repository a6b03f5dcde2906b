/**
 * Lists the instances among which the readers of the watched tables are selected: the known members and, until they are
 * known, the instances that the platform lists.
 */
import type {ReaderCandidate} from '@filbertwell/discovery/tableReaders';
import type {Membership} from '@filbertwell/membership/membership';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';

/** Sources of the instances. */
export type ReaderCandidateOptions = {
	readonly membership: Membership;
	/** Latest reading of the platform's list; empty before the first one. */
	readonly listed: () => readonly ListedInstance[];
	readonly regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>;
};

/** Time after the start until all listed instances that run are known as members. */
const listedTrustMs = 10_000;

/**
 * Creates the list.
 *
 * @param options - Sources of the instances.
 * @param clock - Monotonic clock in milliseconds.
 * @returns Returns the instances that do not leave, including this one.
 */
export const createReaderCandidates = ({membership, listed, regionOfZone}: ReaderCandidateOptions, clock: () => number = () => performance.now()): (() => readonly ReaderCandidate[]) => {
	const createdAtMs = clock();

	return () => {
		const members = membership.members();
		const candidates = members
			.filter(({health, state}) => health === 'alive' && state !== 'leaving')
			.map(({id, region, capacity, state, peerAddress}): ReaderCandidate => ({
				id, region, capacity: capacity ?? 1, isServing: state === 'serving', peerAddress,
			}));
		if (clock() - createdAtMs > listedTrustMs) {
			return candidates;
		}

		const known = new Set(members.map(({id}) => id));
		const unknown = listed()
			.filter(({id, state, kind}) => state === 'live' && kind === 'entry' && !known.has(id))
			.map(({id, host, port, availabilityZone}): ReaderCandidate => ({
				id, region: regionOfZone().get(availabilityZone) ?? availabilityZone, capacity: undefined, isServing: false, peerAddress: {host, port},
			}));
		return [...candidates, ...unknown];
	};
};
