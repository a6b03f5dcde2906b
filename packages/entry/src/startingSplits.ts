/**
 * Splits that a starting entry goes on from.
 *
 * A restarted or new entry takes its peers' current splits, never the target: otherwise each
 * replacement during a shift would move its traffic at once, past the cap.
 */
import type {Membership} from '@filbertwell/membership/membership';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {Split} from '@filbertwell/types/split';
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

const servingPeers = (membership: Membership) => {
	const self = membership.self();
	const peers = membership.members().filter(member => member.id !== self.id && member.role === 'entry' && member.health === 'alive' && member.state !== 'starting');
	const inRegion = peers.filter(member => member.region === self.region);
	return inRegion.length > 0 ? inRegion : peers;
};

const askPeers = async ({membership, channel}: StartingSplitsOptions): Promise<readonly Split[]> => {
	const answers = await Promise.all(servingPeers(membership).slice(0, peersAsked).map(async peer => channel.call(peer.peerAddress, 'steering.splits', {})));
	const answered = answers.flatMap(answer => answer.isOk() && answer.value.splits.length > 0 ? [answer.value] : []);
	return answered.toSorted((a, b) => b.configurationVersion - a.configurationVersion)[0]?.splits ?? [];
};

/**
 * Asks serving peers, those of the same region first, for their splits.
 *
 * @param options - Members and the way to them.
 * @returns The splits of one peer; empty where no peer serves.
 */
export const fetchStartingSplits = async (options: StartingSplitsOptions): Promise<readonly Split[]> => {
	const {clock, signal} = options;
	const giveUpAt = clock() + discoveryMs;
	let splits = await askPeers(options);
	while (splits.length === 0 && clock() < giveUpAt && await waitUnlessAborted(checkIntervalMs, signal)) { // eslint-disable-line no-await-in-loop
		splits = await askPeers(options); // eslint-disable-line no-await-in-loop
	}

	return splits;
};
