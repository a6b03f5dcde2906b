/**
 * Fetches configurations from peers and serves this process's configuration to them.
 */
import type {ConfigurationFollower} from '@filbertwell/configuration/follower';
import {formatHead} from '@filbertwell/configuration/head';
import type {PeerConfigurationSource, PeerFetchError} from '@filbertwell/configuration/peerConfigurationSource';
import type {Membership} from '@filbertwell/membership/membership';
import type {MethodName, MethodParameters, MethodResult} from '@filbertwell/peer-protocol/methods';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {Member} from '@filbertwell/types/member';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {distinctUntilChanged, map, startWith} from 'rxjs';

/** Maximum number of peers queried for a part before the fetch falls back to the store. */
const maximumPartPeers = 3;
/** Maximum number of peers queried for their head. */
const maximumHeadPeers = 8;

const distance = (self: Member, other: Member): number => {
	if (other.availabilityZone === self.availabilityZone) {
		return 0;
	}

	return other.region === self.region ? 1 : 2;
};

/**
 * Orders live peers from near to far. Peers at the same distance are ordered by rendezvous
 * hashing on this process's id, which spreads the load over them.
 */
const nearestPeers = (membership: Membership, count: number): readonly Member[] => {
	const self = membership.self();
	const peers = new Map(membership.members()
		.filter(member => member.id !== self.id && member.health === 'alive')
		.map(member => [member.id, member]));
	return rendezvousOrder(self.id, [...peers.keys()])
		.map(id => peers.get(id)!)
		.toSorted((a, b) => distance(self, a) - distance(self, b))
		.slice(0, count);
};

const unavailable = (detail: string): PeerFetchError => ({kind: 'unavailable', detail});

/**
 * Creates a configuration source that fetches from peers.
 *
 * @param membership - Lists the peers and the versions that they announce.
 * @param channel - Channel for calls to peers.
 * @returns The source for a follower.
 */
export const createPeerConfigurationSource = (membership: Membership, channel: PeerChannel): PeerConfigurationSource => {
	const highestAnnouncedVersion = (): number => Math.max(0, ...membership.members()
		.filter(member => member.id !== membership.self().id)
		.map(member => member.configurationVersion));

	const callAll = async <Name extends MethodName>(peers: readonly Member[], method: Name, parameters: MethodParameters<Name>): Promise<Array<MethodResult<Name>>> => {
		const answers = await Promise.all(peers.map(async peer => channel.call(peer.peerAddress, method, parameters)));
		return answers.flatMap(answer => answer.isOk() ? [answer.value] : []);
	};

	const fetchNewestHead = async (): Promise<Result<string | undefined, PeerFetchError>> => {
		const candidates = [...nearestPeers(membership, Number.POSITIVE_INFINITY)].toSorted((a, b) => b.configurationVersion - a.configurationVersion);
		const answers = await callAll(candidates.slice(0, maximumHeadPeers), 'configuration.head', {});
		if (answers.length === 0) {
			return err(unavailable(`none of ${candidates.length} peers answered`));
		}

		const newest = answers.flatMap(({head}) => head === undefined ? [] : [head]).toSorted((a, b) => b.version - a.version)[0];
		return ok(newest?.content);
	};

	const fetchPartFromPeers = async (hash: string): Promise<Result<string | undefined, PeerFetchError>> => {
		const highest = highestAnnouncedVersion();
		const peers = nearestPeers(membership, Number.POSITIVE_INFINITY).filter(peer => peer.configurationVersion === highest).slice(0, maximumPartPeers);
		for (const peer of peers) {
			const answer = await channel.call(peer.peerAddress, 'configuration.part', {hash}); // eslint-disable-line no-await-in-loop -- the next peer only if this one has no part
			if (answer.isOk() && answer.value.content !== undefined) {
				return ok(answer.value.content);
			}
		}

		return peers.length === 0 ? err(unavailable('no live peer')) : ok(undefined);
	};

	return {
		announcedVersion: membership.changes.pipe(
			map(() => highestAnnouncedVersion()),
			startWith(highestAnnouncedVersion()),
			distinctUntilChanged(),
		),
		fetchHead: () => new ResultAsync(fetchNewestHead()),
		fetchPart: hash => new ResultAsync(fetchPartFromPeers(hash)),
	};
};

/**
 * Registers handlers that serve the head and the parts of the configuration in force to peers.
 *
 * @param channel - Channel on which peers call.
 * @param follower - Follower that holds the configuration.
 */
export const serveConfigurationToPeers = (channel: PeerChannel, follower: ConfigurationFollower): void => {
	channel.handle('configuration.head', () => {
		const head = follower.head();
		return {head: head === undefined ? undefined : {version: head.version, content: formatHead(head)}};
	});
	channel.handle('configuration.part', ({hash}) => ({content: follower.part(hash)}));
};
