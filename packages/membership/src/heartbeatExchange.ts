/**
 * Sends and receives heartbeats. Each round probes the next peer of a random pass over all peers;
 * changes are sent to several peers at once, and some probes carry a sample of the known members.
 */
import type {Heartbeat} from '@filbertwell/peer-protocol/heartbeat';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {ReceivedHeartbeat} from '@filbertwell/peer-protocol/peerChannel';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {createTokenBucket} from '@filbertwell/utils/tokenBucket';
import {announcementFanout, relayFanout} from './dissemination.js';
import {createProbeTracker} from './probeTracker.js';
import {createHeartbeatComposer, maximumUnheardIds} from './heartbeatComposer.js';
import type {MergeOutcome, MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';
import {createProbeOrder} from './probeOrder.js';
import {createProbeTargets} from './probeTargets.js';

/** Exchanges heartbeats with the peers. */
export type HeartbeatExchange = {
	/** Ends the previous round, marks peers that did not reply as suspect, and probes the next peers and `joinAddresses`. */
	readonly round: (joinAddresses: readonly SocketAddress[]) => void;
	readonly receive: (received: ReceivedHeartbeat) => void;
	/** Sends a change of this process to several peers immediately. */
	readonly announce: () => void;
	/** Merges a record that was requested from a peer; it is not relayed. */
	readonly merge: (record: MemberRecord) => MergeOutcome;
	readonly removePeer: (id: string) => void;
	/** Returns the number of rounds since a message from any peer was received. */
	readonly roundsWithoutMessage: () => number;
};

/** Dependencies and callbacks of the exchange. */
export type HeartbeatExchangeOptions = {
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
	/** Sends a heartbeat; compressed if the receiver accepts that. */
	readonly send: (to: SocketAddress, heartbeat: Heartbeat, acceptsDeflate: boolean) => void;
	readonly clock: Clock;
	readonly random: Random;
	/** Number of unanswered probes, one per round, after which a peer becomes suspect. */
	readonly suspectAfterProbes: number;
	/** Whether the platform has answered this process recently, so that its own connection works. */
	readonly isPlatformReachable: () => boolean;
	/** Called with ids of members without a known record, and the address of the peer that sent the ids. */
	readonly onUnknown: (ids: readonly string[], from: SocketAddress) => void;
	/** Called with the address of a peer that replied to a probe. */
	readonly onAnswer: (from: SocketAddress) => void;
	/** Called with the id of a member whose entry in the table changed, and with the kind of change. */
	readonly onMerged: (id: string, outcome: MergeOutcome) => void;
	/** Called once, when a later process uses this process's id. */
	readonly onSuperseded: (by: MemberBeat) => void;
};

/** Many members are probably lost if at least this many and this share of the probes of a round were not answered. */
const massLossProbes = 2;
const massLossShare = 0.5;
/** Rounds for which a message proves that a member is alive. */
const freshRounds = 2;
/** While neither a peer nor the platform answers, this process is probably cut off, so suspicion takes this many times longer. */
const cutOffSuspicionFactor = 4;
const broadcastsPerSecond = 8;
const broadcastBurst = 64;

/** A configuration version alone is not relayed: each member announces its own, and all get a new one at about the same time. */
const shouldRelay = (outcome: MergeOutcome): boolean => outcome === 'joined' || outcome === 'changed';

/**
 * Creates an exchange.
 *
 * @param options - Own announcement, member table, transport and callbacks.
 * @returns The exchange; it sends nothing by itself before the first round.
 */
export const createHeartbeatExchange = (options: HeartbeatExchangeOptions): HeartbeatExchange => {
	const {self, table, send, clock, random, suspectAfterProbes} = options;
	const probeTracker = createProbeTracker();
	const probeOrder = createProbeOrder(random);
	const probeTargets = createProbeTargets({table, probeOrder, unresponsivePeers: probeTracker.unresponsivePeers});
	const broadcastBudget = createTokenBucket(clock, {tokensPerSecond: broadcastsPerSecond, burst: broadcastBurst});
	/** Round in which the latest message of each peer was received. */
	const lastMessageRounds = new Map<string, number>();
	let roundNumber = 0;
	let roundsWithoutMessage = 0;
	let isMassLoss = false;
	/** Whether the first message after rounds without any has arrived, so that suspicions may be outdated. */
	let isReconnected = false;
	let isSuperseded = false;

	const hasMessageWithin = (id: string, rounds: number): boolean => roundNumber - (lastMessageRounds.get(id) ?? Number.NEGATIVE_INFINITY) <= rounds;

	const composer = createHeartbeatComposer({
		self, table, unresponsivePeers: probeTracker.unresponsivePeers, freshPeers: () => [...lastMessageRounds.keys()].filter(id => hasMessageWithin(id, freshRounds)),
	});

	const sendToMember = ({id, peerAddress, acceptsDeflate}: Member, kind: 'probe' | 'news') => {
		send(peerAddress, composer.compose(kind, id, []), acceptsDeflate === true);
	};

	const probe = (id: string) => {
		const known = table.get(id);
		if (known !== undefined) {
			probeTracker.recordProbe(id);
			sendToMember(known.member, 'probe');
		}
	};

	const broadcast = (fanout: number) => {
		for (const id of probeOrder.sample(table.known(), fanout)) {
			const known = table.get(id);
			if (known !== undefined && broadcastBudget.tryTake(1)) {
				sendToMember(known.member, 'news');
			}
		}
	};

	const handleOwnBeat = (beat: MemberBeat) => {
		const reaction = self.handleBeat(beat);
		if (reaction === 'refute') {
			broadcast(announcementFanout);
		} else if (reaction === 'yield' && !isSuperseded) {
			isSuperseded = true;
			options.onSuperseded(beat);
		}
	};

	/**
	 * Evaluates a suspicion whose sequence is lower than the known one. It is still later than what this process knows if
	 * this process received no message from the peer while the other member probed it.
	 */
	const handleOutdatedSuspicion = (id: string): MergeOutcome => {
		if (hasMessageWithin(id, suspectAfterProbes)) {
			probeTracker.markUnresponsive(id);
			return 'stale';
		}

		table.suspect(id);
		options.onMerged(id, 'changed');
		return 'changed';
	};

	/** Merges one beat or record and returns the outcome. */
	const merge = (update: MemberBeat | MemberRecord): MergeOutcome => {
		if (update.id === self.member().id) {
			handleOwnBeat(update);
			return 'stale';
		}

		const known = table.get(update.id);
		const outcome = table.merge(update);
		const isOutdatedSuspicion = outcome === 'stale' && update.health === 'suspect' && known?.member.health === 'alive'
			&& update.incarnation === known.member.incarnation;
		if (isOutdatedSuspicion) {
			return handleOutdatedSuspicion(update.id);
		}

		if (outcome !== 'stale' && outcome !== 'unknown') {
			options.onMerged(update.id, outcome);
		}

		return outcome;
	};

	/** Other members answer the ids of unresponsive peers with the beats of those that have just sent them a message. */
	const recordRelayedMessages = ({kind, beats = []}: Heartbeat) => {
		for (const {id, health, incarnation, sequence} of kind === 'reply' ? beats : []) {
			const known = table.get(id);
			if (health === 'alive' && known?.member.incarnation === incarnation && sequence >= known.sequence) {
				probeTracker.recordRelayedMessage(id);
			}
		}
	};

	const mergeAll = (heartbeat: Heartbeat, from: SocketAddress) => {
		const updates = [...(heartbeat.records ?? []), heartbeat.sender, ...(heartbeat.beats ?? [])];
		const outcomes = updates.map(update => ({id: update.id, outcome: merge(update)}));
		recordRelayedMessages(heartbeat);
		const toRelay = outcomes.filter(({outcome}) => shouldRelay(outcome));
		for (const {id, outcome} of toRelay) {
			const enqueue = outcome === 'joined' ? composer.enqueueJoin : composer.enqueueChange;
			enqueue(id);
		}

		const unknown = outcomes.filter(({outcome}) => outcome === 'unknown').map(({id}) => id);
		if (unknown.length > 0) {
			options.onUnknown(unknown, from);
		}

		if (toRelay.length > 0) {
			broadcast(relayFanout);
		}
	};

	const replyTo = (heartbeat: Heartbeat, from: SocketAddress) => {
		const {id} = heartbeat.sender;
		const known = table.get(id);
		const isOlderThanKnown = known !== undefined && known.member.incarnation > heartbeat.sender.incarnation;
		const requestedIds = (heartbeat.unheard ?? []).slice(0, maximumUnheardIds);
		const freshIds = requestedIds.filter(requested => hasMessageWithin(requested, freshRounds));
		send(from, composer.compose('reply', id, isOlderThanKnown ? [id, ...freshIds] : freshIds), known?.member.acceptsDeflate === true);
		for (const unheard of requestedIds) {
			if (table.get(unheard)?.member.health === 'alive' && probeTracker.markUnresponsive(unheard)) {
				probe(unheard);
			}
		}
	};

	const suspectSilentPeers = () => {
		const isCutOff = roundsWithoutMessage > suspectAfterProbes && !options.isPlatformReachable();
		const {suspects, probed, unanswered} = probeTracker.endRound(isCutOff ? suspectAfterProbes * cutOffSuspicionFactor : suspectAfterProbes);
		isMassLoss = unanswered >= massLossProbes && unanswered >= probed * massLossShare;
		for (const id of suspects) {
			if (table.suspect(id)) {
				composer.enqueueChange(id);
				options.onMerged(id, 'changed');
				broadcast(relayFanout);
			}
		}
	};

	return {
		round(joinAddresses) {
			self.advance();
			roundNumber += 1;
			roundsWithoutMessage += 1;
			suspectSilentPeers();
			const targets = probeTargets.choose(isReconnected ? 'reconnected' : (isMassLoss ? 'massLoss' : 'usual'));
			isReconnected = false;
			for (const id of targets) {
				probe(id);
			}

			for (const address of joinAddresses) {
				send(address, composer.compose('probe', undefined, []), false);
			}
		},
		receive({from, heartbeat}) {
			const {id} = heartbeat.sender;
			if (id === self.member().id) {
				handleOwnBeat(heartbeat.sender);
				return;
			}

			isReconnected ||= roundsWithoutMessage > suspectAfterProbes;
			roundsWithoutMessage = 0;
			mergeAll(heartbeat, from);
			const known = table.get(id);
			if (known?.member.incarnation === heartbeat.sender.incarnation) {
				probeTracker.recordMessage(id);
				lastMessageRounds.set(id, roundNumber);
			}

			if (heartbeat.kind === 'reply') {
				composer.markOwnRecordReceived(id);
				options.onAnswer(from);
			} else if (heartbeat.kind === 'probe') {
				replyTo(heartbeat, from);
			}
		},
		announce() {
			broadcast(announcementFanout);
		},
		merge,
		removePeer(id) {
			probeTracker.removePeer(id);
			lastMessageRounds.delete(id);
			composer.removePeer(id);
		},
		roundsWithoutMessage: () => roundsWithoutMessage,
	};
};
