/**
 * Control plane of an entry or a look-up process: platform client, peer channel, membership,
 * configuration follower and look-ups. An entry adds the request path to it.
 */
import {startCollectionJob} from '@filbertwell/configuration/collectionJob';
import {createFollower} from '@filbertwell/configuration/createFollower';
import type {ConfigurationFollower} from '@filbertwell/configuration/follower';
import {selectPollers} from '@filbertwell/configuration/selectPollers';
import {createLogger} from '@filbertwell/logger/logger';
import {createMembership} from '@filbertwell/membership/createMembership';
import type {Membership} from '@filbertwell/membership/membership';
import type {Metrics} from '@filbertwell/metrics/metrics';
import {createPeerChannel, type PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import {createHttpPlatform, type HttpPlatform} from '@filbertwell/platform/httpPlatform';
import type {EntrySettings} from '@filbertwell/settings/entrySettings';
import {createLookup, type Lookup} from '@filbertwell/steering/lookup';
import type {MemberRole} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {rendezvousOrder} from '@filbertwell/utils/hash';
import type {Random} from '@filbertwell/utils/random';
import {createPeerConfigurationSource, serveConfigurationToPeers} from './peerConfiguration.js';

/** Settings that the control plane reads. */
export type ControlSettings = Pick<EntrySettings, 'process' | 'peers' | 'platform' | 'configuration' | 'membership'>;

/** Settings, role and dependencies of the control plane. */
export type ControlPlaneOptions = {
	readonly settings: ControlSettings;
	readonly role: MemberRole;
	readonly callerAddress: SocketAddress;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
};

/** The running control plane. */
export type ControlPlane = {
	readonly platform: HttpPlatform;
	readonly channel: PeerChannel;
	readonly membership: Membership;
	readonly follower: ConfigurationFollower;
	readonly lookup: Lookup;
	/** Whether this process is one of those selected to poll the platform. */
	readonly isPoller: () => boolean;
	readonly stop: () => Promise<void>;
};

/** Number of members up to which every process polls the head of the configuration. */
const allPollThreshold = 16;
const pollersPerZone = 2;
/** Number of members that may acquire the lease for the removal of old configuration versions. */
const collectionCandidateCount = 3;
const collectionLeaseTermMs = 60_000;
const collectionIntervalMs = 600_000;
/** Number of configuration versions that are retained: one day's changes in a deployment of the target size. */
const keptVersions = 1000;

/**
 * Starts the control plane.
 *
 * @param options - Settings, role and dependencies.
 * @returns The running control plane; rejects if it can't listen on the peer address.
 */
export const startControlPlane = async ({settings, role, callerAddress, clock, random, metrics}: ControlPlaneOptions): Promise<ControlPlane> => {
	const {id, region, availabilityZone, site} = settings.process;
	const platform = createHttpPlatform({
		address: settings.platform,
		timeoutMs: settings.platform.timeoutMs,
		maximumActive: settings.platform.maximumCalls,
		clock,
		random,
		log: createLogger('platform'),
		onFinished({operation, outcome}) {
			metrics.increment('platform_calls_total', {operation, outcome});
		},
	});
	const channel = await createPeerChannel({address: settings.peers, log: createLogger('peers')});
	metrics.observeGauge('peer_datagram_bytes', 'Bytes of heartbeats in both directions since the start, with headers', () => channel.traffic().datagramBytesIn + channel.traffic().datagramBytesOut);
	metrics.observeGauge('peer_rpc_bytes', 'Bytes of calls between peers in both directions since the start', () => channel.traffic().rpcBytesIn + channel.traffic().rpcBytesOut);
	const membership = createMembership({
		self: {
			id, role, region, availabilityZone, site, callerAddress,
		},
		seeds: settings.peers.seeds,
		instances: platform.instances,
		channel,
		clock,
		random,
		log: createLogger('membership'),
		roundIntervalMs: settings.membership.heartbeatMs,
		suspectAfterMs: settings.membership.suspectMs,
		listIntervalMs: settings.membership.listMs,
		removeAfterMs: settings.membership.forgetMs,
	});

	const isPoller = (): boolean => {
		const members = membership.members().filter(member => member.health === 'alive');
		return selectPollers({members, pollersPerZone, allPollThreshold}).has(id);
	};

	const follower = createFollower({
		platform,
		clock,
		random,
		log: createLogger('configuration'),
		peers: createPeerConfigurationSource(membership, channel),
		isPoller,
		pollMs: settings.configuration.pollMs,
		backstopMs: settings.configuration.backstopMs,
	});
	serveConfigurationToPeers(channel, follower);

	const isCollectionCandidate = (): boolean => {
		const ids = membership.members().filter(member => member.health === 'alive').map(member => member.id);
		return rendezvousOrder('configuration-collection', ids).slice(0, collectionCandidateCount).includes(id);
	};

	const collection = startCollectionJob({
		platform,
		holder: `${id}/${membership.self().incarnation}`,
		isCandidate: isCollectionCandidate,
		versionInForce: () => follower.current()?.version ?? 0,
		keptVersions,
		intervalMs: collectionIntervalMs,
		termMs: collectionLeaseTermMs,
		clock,
		random,
		log: createLogger('configuration'),
	});

	const lookup = createLookup({members: () => membership.members(), clock});
	metrics.observeGauge('lookup_table_bytes', 'Memory of the table of client blocks', () => lookup.size().tableBytes);
	metrics.observeGauge('lookup_blocks', 'Client blocks in the table', () => lookup.size().blocks);
	const subscription = follower.inForce.subscribe(configuration => {
		membership.announceConfiguration(configuration.version);
		void lookup.update(configuration);
	});

	return {
		platform,
		channel,
		membership,
		follower,
		lookup,
		isPoller,
		async stop() {
			subscription.unsubscribe();
			await collection.stop();
			await follower.stop();
			await membership.stop();
			platform.close();
		},
	};
};
