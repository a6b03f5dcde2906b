/**
 * Joins heartbeats and the platform's instance list into one view of the members.
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
import {createContacts} from './contacts.js';
import {createHeartbeatExchange} from './heartbeatExchange.js';
import {createInstanceListWatch, type ListReading} from './instanceListWatch.js';
import {createMemberFetch, createMembersHandler} from './memberFetch.js';
import {createMemberTable, type Learned} from './memberTable.js';
import {createMemberView} from './memberView.js';
import type {Membership} from './membership.js';
import {toRecord} from './records.js';
import {findGone} from './removal.js';
import {createSelfAnnouncement, type MemberIdentity} from './selfAnnouncement.js';

/** Parameters of the membership. */
export type MembershipOptions = {
	/** Who this process is; the peer address is the channel's. */
	readonly self: Omit<MemberIdentity, 'peerAddress'>;
	/** Peer addresses from the settings. */
	readonly seeds: readonly SocketAddress[];
	readonly instances: InstanceList;
	/** Closed by `stop`. */
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Number of this start of the process; by default the wall clock in milliseconds. */
	readonly incarnation?: number;
	readonly roundIntervalMs?: number;
	/** Silence after which a member is suspect; it counts in whole rounds. */
	readonly suspectAfterMs?: number;
	readonly listIntervalMs?: number;
	/** Added to the time between readings of the list for each member beyond a small deployment. */
	readonly listIntervalPerMemberMs?: number;
	/** How long a member must be silent and unlisted before it is forgotten. */
	readonly removeAfterMs?: number;
};

const defaultRoundIntervalMs = 1000;
const defaultSuspectAfterMs = 3000;
const defaultListIntervalMs = 2000;
const defaultListIntervalPerMemberMs = 500;
const defaultRemoveAfterMs = 30_000;
const roundJitter = 0.2;
const roundsBetweenComparisons = 20;
const roundsUntilIsolated = 10;

/**
 * Starts heartbeats and the reading of the list.
 *
 * @param options - Identity, channel and platform.
 * @returns The membership, with this process alone as `starting` until peers are heard.
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
	const watch = createInstanceListWatch({
		instances: options.instances,
		clock,
		random,
		log,
		minimumIntervalMs: options.listIntervalMs ?? defaultListIntervalMs,
		intervalPerMemberMs: options.listIntervalPerMemberMs ?? defaultListIntervalPerMemberMs,
		members: () => table.known().size,
	});
	const contacts = createContacts({seeds: options.seeds, self, table});
	let rounds = 0;
	let highestVersion = 0;
	let emissionPending = false;

	/** Emits once for all changes of one turn of the event loop. */
	const emit = async () => {
		if (!emissionPending) {
			emissionPending = true;
			await nextTurn();
			emissionPending = false;
			changes.next(view.members());
		}
	};

	const logLearned = (id: string, learned: Learned) => {
		const known = table.get(id);
		if (known === undefined || learned === 'refreshed' || learned === 'updated') {
			return;
		}

		const {state, health, incarnation, configurationVersion} = known.member;
		const event = learned === 'joined' ? membershipEvents.memberJoined : membershipEvents.memberChanged;
		log(health === 'suspect' ? membershipEvents.memberSuspected : event, {
			id, state, incarnation, configurationVersion,
		});
	};

	/** A version that some member had before brings nothing to those who wait for a higher one. */
	const isVisible = (id: string, learned: Learned): boolean => {
		const version = table.get(id)?.member.configurationVersion ?? 0;
		const isHighest = version > highestVersion;
		highestVersion = Math.max(highestVersion, version);
		return learned === 'joined' || learned === 'changed' || isHighest;
	};

	const records = (): readonly MemberRecord[] => view.members().map(member => member.id === self.member().id
		? self.record()
		: toRecord(table.get(member.id)!.member, table.get(member.id)!.sequence));

	const exchange = createHeartbeatExchange({
		self,
		table,
		clock,
		random,
		silentAfterProbes: Math.max(Math.ceil(suspectAfterMs / roundIntervalMs), 2),
		send(to, heartbeat) {
			channel.sendHeartbeat(to, heartbeat);
		},
		onUnknown(ids, from) {
			void fetch.fetchUnknown(ids, from);
		},
		onAnswer(from) {
			void fetch.fetchAll(from);
		},
		onLearned(id, learned) {
			logLearned(id, learned);
			if (isVisible(id, learned)) {
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

	const fetch = createMemberFetch({
		call: channel.call,
		learn(record) {
			exchange.learn(record);
		},
		records,
		log,
	});

	const applyReading = (reading: ListReading) => {
		contacts.setListed(reading.instances);
		if (view.setListed(reading.instances)) {
			void emit();
		}
	};

	const removeGone = () => {
		const reading = watch.latest();
		for (const id of findGone({
			table, reading, now: clock(), removeAfterMs, selfId: self.member().id,
		})) {
			table.remove(id);
			exchange.forget(id);
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
			void fetch.comparePage(peer.member.peerAddress);
		}
	};

	const round = () => {
		rounds += 1;
		exchange.round(contacts.next(rounds));
		removeGone();
		compareWithPeer();
		if (exchange.roundsUnheard() === roundsUntilIsolated) {
			log(membershipEvents.isolated, {rounds: roundsUntilIsolated});
		}
	};

	const subscription = channel.heartbeats.subscribe(received => {
		if (!stopping.signal.aborted) {
			exchange.receive(received);
		}
	});
	subscription.add(watch.readings.subscribe(applyReading));
	channel.handle('membership.members', createMembersHandler(records));
	const heartbeats = runPeriodically({
		intervalMs: roundIntervalMs,
		jitter: roundJitter,
		random,
		signal: stopping.signal,
		task: round,
	});
	const reading = watch.run(stopping.signal);

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
		listed: watch.readings.pipe(map(({instances}) => instances)),
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
