/**
 * Fetches the splits that a starting entry begins with.
 *
 * A restarted or new entry uses its peers' current splits instead of the target split. Otherwise
 * each replacement of an entry during a shift would move its traffic at once and exceed the shift cap.
 */
import type {Membership} from '@filbertwell/membership/membership';
import type {Member} from '@filbertwell/types/member';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {RegionalSplit} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';

/** Dependencies of the fetch. */
export type InitialSplitsOptions = {
	readonly membership: Membership;
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Time limit for finding a peer with splits; after it, the entry acts as the first of its deployment. */
const discoveryTimeoutMs = 2000;
const checkIntervalMs = 100;
const maximumQueriedPeers = 3;

/** Peers of the same region come first: their split is in use for the region, while peers elsewhere only track it. */
const servingPeers = (membership: Membership): readonly Member[] => {
	const self = membership.self();
	const regionRank = (member: Member) => Number(member.region !== self.region);
	return membership.members()
		.filter(member => member.id !== self.id && member.role === 'entry' && member.health === 'alive' && member.state !== 'starting')
		.toSorted((a, b) => regionRank(a) - regionRank(b));
};

const queryPeers = async ({membership, channel}: InitialSplitsOptions): Promise<readonly RegionalSplit[]> => {
	const answers = await Promise.all(servingPeers(membership).slice(0, maximumQueriedPeers).map(async peer => channel.call(peer.peerAddress, 'steering.splits', {})));
	return answers.flatMap(answer => answer.isOk() && answer.value.splits.length > 0 ? [answer.value.splits] : [])[0] ?? [];
};

/**
 * Fetches splits from live entries, those of the same region first. Retries until the time limit.
 *
 * @param options - Membership, peer channel, clock and abort signal.
 * @returns The splits of one peer; empty if no peer returns any in time.
 */
export const fetchInitialSplits = async (options: InitialSplitsOptions): Promise<readonly RegionalSplit[]> => {
	const {clock, signal} = options;
	const discoveryDeadlineMs = clock() + discoveryTimeoutMs;
	let splits = await queryPeers(options);
	while (splits.length === 0 && clock() < discoveryDeadlineMs && await waitUnlessAborted(checkIntervalMs, signal)) { // eslint-disable-line no-await-in-loop
		splits = await queryPeers(options); // eslint-disable-line no-await-in-loop
	}

	return splits;
};
