/**
 * Combines heartbeats and the platform's instance list into one view of the members.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {InstanceList} from '@filbertwell/platform/instanceList';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {map, Subject} from 'rxjs';
import {createJoinAddresses} from './joinAddresses.js';
import {createHeartbeatExchange} from './heartbeatExchange.js';
import {createInstanceListPoller, type ListReading} from './instanceListPoller.js';
import {createMemberFetcher, createMembersHandler} from './memberFetcher.js';
import {createMemberTable, type MergeOutcome} from './memberTable.js';
import {createMemberView} from './memberView.js';
import type {Membership} from './membership.js';
import {toRecord} from './records.js';
import {findRemovable} from './findRemovable.js';
import {createSelfAnnouncement, type MemberIdentity} from './selfAnnouncement.js';

/** Identity, dependencies and intervals of the membership. */
export type MembershipOptions = {
	/** Identity of this process; its peer address is that of the channel. */
	readonly self: Omit<MemberIdentity, 'peerAddress'>;
	/** Peer addresses from the settings. */
	readonly seeds: readonly SocketAddress[];
	readonly instances: InstanceList;
	/** Channel to the peers; `stop` closes it. */
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Number of this start of the process; the wall clock in milliseconds by default. */
	readonly incarnation?: number;
	readonly roundIntervalMs?: number;
	/** Time without a reply after which a member is suspect, rounded up to whole rounds. */
	readonly suspectAfterMs?: number;
	readonly listIntervalMs?: number;
	/** Added to the interval between readings of the list for each member beyond a small deployment. */
	readonly listIntervalPerMemberMs?: number;
	/** Delay of the first reading of the list; 0 by default. */
	readonly firstListDelayMs?: number;
	/** Time for which an unlisted member must be suspect before it is removed. */
	readonly removeAfterMs?: number;
	/** Whether the platform has answered this process recently; by default, whether it has returned the list of instances. */
	readonly isPlatformReachable?: () => boolean;
};

const defaultRoundIntervalMs = 1000;
const defaultSuspectAfterMs = 3000;
const defaultListIntervalMs = 2000;
const defaultListIntervalPerMemberMs = 500;
const defaultRemoveAfterMs = 30_000;
const roundJitter = 0.2;
const roundsBetweenComparisons = 20;
const roundsUntilIsolated = 10;
/** Age of the list, in shortest intervals between two readings, up to which the platform counts as reachable. */
const recentListIntervals = 2;

/**
 * Starts heartbeats and polling of the instance list.
 *
 * @param options - Identity, channel, instance list and intervals.
 * @returns The membership. It contains only this process, as `starting`, until peers respond.
 */
export const createMembership = (options: MembershipOptions): Membership => {
	const {
		channel, clock, random, log,
		removeAfterMs = defaultRemoveAfterMs,
		roundIntervalMs = defaultRoundIntervalMs,
		suspectAfterMs = defaultSuspectAfterMs,
	} = options;
	const stopping = new AbortController();
	const changes = new Subject<readonly Member[]>();
	const superseded = new Subject<Member>();
	const self = createSelfAnnouncement({
		identity: {...options.self, peerAddress: channel.address},
		firstIncarnation: options.incarnation ?? Date.now(),
		clock,
		log,
	});
	const table = createMemberTable(clock);
	const view = createMemberView(self, table, clock);
	const listIntervalMs = options.listIntervalMs ?? defaultListIntervalMs;
	const listPoller = createInstanceListPoller({
		instances: options.instances,
		clock,
		random,
		log,
		minimumIntervalMs: listIntervalMs,
		intervalPerMemberMs: options.listIntervalPerMemberMs ?? defaultListIntervalPerMemberMs,
		firstDelayMs: options.firstListDelayMs ?? 0,
		members: () => table.known().size,
	});
	const hasRecentList = () => clock() - (listPoller.latest()?.readAtMs ?? Number.NEGATIVE_INFINITY) <= listIntervalMs * recentListIntervals;
	const joinAddresses = createJoinAddresses({seeds: options.seeds, self, table});
	let rounds = 0;
	let highestVersion = 0;
	let isEmissionPending = false;

	/** Emits the members once for all changes of one turn of the event loop. */
	const emit = async () => {
		if (!isEmissionPending) {
			isEmissionPending = true;
			await nextTurn();
			isEmissionPending = false;
			changes.next(view.members());
		}
	};

	const logMergeOutcome = (id: string, outcome: MergeOutcome) => {
		const known = table.get(id);
		if (known === undefined || outcome === 'refreshed' || outcome === 'updated') {
			return;
		}

		const {state, health, incarnation, configurationVersion} = known.member;
		const event = outcome === 'joined' ? membershipEvents.memberJoined : membershipEvents.memberChanged;
		log(health === 'suspect' ? membershipEvents.memberSuspected : event, {
			id, state, incarnation, configurationVersion,
		});
	};

	/** A configuration version that another member reported before is not emitted, because subscribers wait for a higher one. */
	const shouldEmit = (id: string, outcome: MergeOutcome): boolean => {
		const version = table.get(id)?.member.configurationVersion ?? 0;
		const isHighest = version > highestVersion;
		highestVersion = Math.max(highestVersion, version);
		return outcome === 'joined' || outcome === 'changed' || isHighest;
	};

	const records = (): readonly MemberRecord[] => view.members().map(member => member.id === self.member().id
		? self.record()
		: toRecord(table.get(member.id)!.member, table.get(member.id)!.sequence));

	const exchange = createHeartbeatExchange({
		self,
		table,
		clock,
		random,
		suspectAfterProbes: Math.max(Math.ceil(suspectAfterMs / roundIntervalMs), 2),
		isPlatformReachable: options.isPlatformReachable ?? hasRecentList,
		send(to, heartbeat, acceptsDeflate) {
			channel.sendHeartbeat(to, heartbeat, acceptsDeflate);
		},
		onUnknown(ids, from) {
			void fetcher.fetchUnknown(ids, from);
		},
		onAnswer(from) {
			void fetcher.fetchAll(from);
		},
		onMerged(id, outcome) {
			logMergeOutcome(id, outcome);
			if (shouldEmit(id, outcome)) {
				void emit();
			}
		},
		onSuperseded(by) {
			log(membershipEvents.superseded, {id: by.id, incarnation: by.incarnation});
			stopping.abort();
			superseded.next(self.member());
			superseded.complete();
		},
	});

	const fetcher = createMemberFetcher({
		call: channel.call,
		merge(record) {
			exchange.merge(record);
		},
		records,
		log,
	});

	const applyReading = (reading: ListReading) => {
		joinAddresses.setListed(reading.instances);
		if (view.setListed(reading.instances)) {
			void emit();
		}
	};

	const removeUnreachable = () => {
		const reading = listPoller.latest();
		for (const id of findRemovable({
			table, reading, now: clock(), removeAfterMs, selfId: self.member().id,
		})) {
			table.remove(id);
			exchange.removePeer(id);
			log(membershipEvents.memberRemoved, {id});
			void emit();
		}
	};

	const compareWithPeer = () => {
		if (rounds % roundsBetweenComparisons !== 0) {
			return;
		}

		const alive = [...table.known().values()].filter(({member}) => member.health === 'alive');
		const peer = alive[Math.floor(random() * alive.length)];
		if (peer !== undefined) {
			void fetcher.comparePage(peer.member.peerAddress);
		}
	};

	const round = () => {
		rounds += 1;
		exchange.round(joinAddresses.next(rounds));
		removeUnreachable();
		compareWithPeer();
		if (exchange.roundsWithoutMessage() === roundsUntilIsolated) {
			log(membershipEvents.isolated, {rounds: roundsUntilIsolated});
		}
	};

	const subscription = channel.heartbeats.subscribe(received => {
		if (!stopping.signal.aborted) {
			exchange.receive(received);
		}
	});
	subscription.add(listPoller.readings.subscribe(applyReading));
	channel.handle('membership.members', createMembersHandler(records));
	const heartbeats = runPeriodically({
		intervalMs: roundIntervalMs,
		jitter: roundJitter,
		random,
		signal: stopping.signal,
		task: round,
	});
	const reading = listPoller.run(stopping.signal);

	const announce = () => {
		if (!stopping.signal.aborted) {
			exchange.announce();
			void emit();
		}
	};

	return {
		self: self.member,
		members: view.members,
		changes,
		listed: listPoller.readings.pipe(map(({instances}) => instances)),
		superseded,
		announceState(state) {
			self.setState(state);
			announce();
		},
		announceConfiguration(version) {
			self.setConfigurationVersion(version);
			announce();
		},
		announceLoad(load) {
			self.setLoad(load);
		},
		async stop() {
			stopping.abort();
			await heartbeats;
			await reading;
			subscription.unsubscribe();
			changes.complete();
			await channel.close();
		},
	};
};
