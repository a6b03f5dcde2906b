/**
 * Peers as a source of configurations, and this process as a source for its peers.
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

/** Peers asked for one part before the store is asked. */
const peersAskedForPart = 3;
/** Peers asked for their head at start. */
const peersAskedForHead = 8;

const proximity = (self: Member, other: Member): number => {
	if (other.availabilityZone === self.availabilityZone) {
		return 0;
	}

	return other.region === self.region ? 1 : 2;
};

/** Orders peers from near to far, in an order of their own for each asker so that the load spreads. */
const nearestPeers = (membership: Membership, count: number): readonly Member[] => {
	const self = membership.self();
	const peers = new Map(membership.members()
		.filter(member => member.id !== self.id && member.health === 'alive')
		.map(member => [member.id, member]));
	return rendezvousOrder(self.id, [...peers.keys()])
		.map(id => peers.get(id)!)
		.toSorted((a, b) => proximity(self, a) - proximity(self, b))
		.slice(0, count);
};

const unavailable = (detail: string): PeerFetchError => ({kind: 'unavailable', detail});

/**
 * Creates the source.
 *
 * @param membership - Where peers and the versions that they announce are known.
 * @param channel - Way to the peers.
 * @returns The source that a follower asks.
 */
export const createPeerConfigurationSource = (membership: Membership, channel: PeerChannel): PeerConfigurationSource => {
	const highestAnnounced = (): number => Math.max(0, ...membership.members()
		.filter(member => member.id !== membership.self().id)
		.map(member => member.configurationVersion));

	const askAll = async <Name extends MethodName>(peers: readonly Member[], method: Name, parameters: MethodParameters<Name>): Promise<Array<MethodResult<Name>>> => {
		const answers = await Promise.all(peers.map(async peer => channel.call(peer.peerAddress, method, parameters)));
		return answers.flatMap(answer => answer.isOk() ? [answer.value] : []);
	};

	const fetchHighestHead = async (): Promise<Result<string | undefined, PeerFetchError>> => {
		const candidates = [...nearestPeers(membership, Number.POSITIVE_INFINITY)].toSorted((a, b) => b.configurationVersion - a.configurationVersion);
		const answers = await askAll(candidates.slice(0, peersAskedForHead), 'configuration.head', {});
		if (answers.length === 0) {
			return err(unavailable(`none of ${candidates.length} peers answered`));
		}

		const best = answers.flatMap(({head}) => head === undefined ? [] : [head]).toSorted((a, b) => b.version - a.version)[0];
		return ok(best?.content);
	};

	const fetchNearPart = async (hash: string): Promise<Result<string | undefined, PeerFetchError>> => {
		const highest = highestAnnounced();
		const peers = nearestPeers(membership, Number.POSITIVE_INFINITY).filter(peer => peer.configurationVersion === highest).slice(0, peersAskedForPart);
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
			map(() => highestAnnounced()),
			startWith(highestAnnounced()),
			distinctUntilChanged(),
		),
		fetchHead: () => new ResultAsync(fetchHighestHead()),
		fetchPart: hash => new ResultAsync(fetchNearPart(hash)),
	};
};

/**
 * Answers peers that ask for the configuration in force here.
 *
 * @param channel - Way to the peers.
 * @param follower - The configuration in force.
 */
export const serveConfigurationToPeers = (channel: PeerChannel, follower: ConfigurationFollower): void => {
	channel.handle('configuration.head', () => {
		const head = follower.head();
		return {head: head === undefined ? undefined : {version: head.version, content: formatHead(head)}};
	});
	channel.handle('configuration.part', ({hash}) => ({content: follower.part(hash)}));
};
