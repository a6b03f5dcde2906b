/**
 * Which processes poll the table often. All others hear of new versions from peers.
 */
import {rendezvousOrder} from '@filbertwell/utils/hash';

/** A live member as far as the choice needs it. */
export type PollerCandidate = {
	readonly id: string;
	readonly availabilityZone: string;
};

/** Parameters of the choice. */
export type PollerOptions = {
	readonly members: readonly PollerCandidate[];
	/** Pollers in each availability zone. */
	readonly pollersPerZone: number;
	/** Up to so many members all poll. */
	readonly allPollUpTo: number;
};

/**
 * Selects the pollers by rendezvous hash within each availability zone. When a poller goes,
 * one other process takes its place and the rest keep theirs.
 *
 * @param options - Members and number of pollers.
 * @returns Ids of the pollers.
 */
export const selectPollers = ({members, pollersPerZone, allPollUpTo}: PollerOptions): ReadonlySet<string> => {
	if (members.length <= allPollUpTo) {
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
