/**
 * Splits that a starting entry goes on from.
 *
 * A restarted or new entry takes its peers' current splits, never the target: otherwise each
 * replacement during a shift would move its traffic at once, past the cap.
 */
import type {Membership} from '@filbertwell/membership/membership';
import type {Member} from '@filbertwell/types/member';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {RegionalSplit} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';

/** Parameters of the question. */
export type StartingSplitsOptions = {
	readonly membership: Membership;
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Longest wait for a peer; after it the entry is taken as the first of its deployment. */
const discoveryMs = 2000;
const checkIntervalMs = 100;
const peersAsked = 3;

/** Peers of the same region first: theirs is the split in use, the others' only a shadow of it. */
const servingPeers = (membership: Membership): readonly Member[] => {
	const self = membership.self();
	const isElsewhere = (member: Member) => Number(member.region !== self.region);
	return membership.members()
		.filter(member => member.id !== self.id && member.role === 'entry' && member.health === 'alive' && member.state !== 'starting')
		.toSorted((a, b) => isElsewhere(a) - isElsewhere(b));
};

const askPeers = async ({membership, channel}: StartingSplitsOptions): Promise<readonly RegionalSplit[]> => {
	const answers = await Promise.all(servingPeers(membership).slice(0, peersAsked).map(async peer => channel.call(peer.peerAddress, 'steering.splits', {})));
	return answers.flatMap(answer => answer.isOk() && answer.value.splits.length > 0 ? [answer.value.splits] : [])[0] ?? [];
};

/**
 * Asks serving peers, those of the same region first, for their splits.
 *
 * @param options - Members and the way to them.
 * @returns The splits of one peer; empty where no peer serves.
 */
export const fetchStartingSplits = async (options: StartingSplitsOptions): Promise<readonly RegionalSplit[]> => {
	const {clock, signal} = options;
	const giveUpAt = clock() + discoveryMs;
	let splits = await askPeers(options);
	while (splits.length === 0 && clock() < giveUpAt && await waitUnlessAborted(checkIntervalMs, signal)) { // eslint-disable-line no-await-in-loop
		splits = await askPeers(options); // eslint-disable-line no-await-in-loop
	}

	return splits;
};
