/**
 * Selects the processes that poll the table at the short interval. The others learn of new versions
 * from peers.
 */
import {rendezvousOrder} from '@filbertwell/utils/hash';

/** The fields of a live member that the selection uses. */
export type PollerCandidate = {
	readonly id: string;
	readonly availabilityZone: string;
};

export type PollerOptions = {
	readonly members: readonly PollerCandidate[];
	/** Number of pollers in each availability zone. */
	readonly pollersPerZone: number;
	/** Up to this number of members, all of them poll. */
	readonly allPollThreshold: number;
};

/**
 * Selects the pollers of each availability zone by rendezvous hashing. When a poller leaves, one
 * other process replaces it and the remaining pollers stay the same.
 *
 * @param options - Members and number of pollers.
 * @returns Ids of the pollers.
 */
export const selectPollers = ({members, pollersPerZone, allPollThreshold}: PollerOptions): ReadonlySet<string> => {
	if (members.length <= allPollThreshold) {
		return new Set(members.map(member => member.id));
	}

	const idsByZone = new Map<string, string[]>();
	for (const {id, availabilityZone} of members) {
		const ids = idsByZone.get(availabilityZone) ?? [];
		ids.push(id);
		idsByZone.set(availabilityZone, ids);
	}

	const pollers = [...idsByZone].flatMap(([zone, ids]) => rendezvousOrder(`config-poller ${zone}`, ids).slice(0, pollersPerZone));
	return new Set(pollers);
};
