/**
 * Heartbeats to and from peers: one probe a round to the next peer of a random pass, changes to
 * several peers at once, and a sample of what is known in each message.
 */
import type {Heartbeat} from '@filbertwell/peer-protocol/heartbeat';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {ReceivedHeartbeat} from '@filbertwell/peer-protocol/peerChannel';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {createTokenBucket} from '@filbertwell/utils/tokenBucket';
import {ownNewsTargets, relayTargets} from './dissemination.js';
import {createDoubts} from './doubts.js';
import {createHeartbeatComposer, unheardInMessage} from './heartbeatComposer.js';
import type {Learned, MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';
import {createTargetRing} from './targetRing.js';

/** Heartbeats of this process. */
export type HeartbeatExchange = {
	/** Ends the last round, suspects the silent, and probes the next peers. */
	readonly round: (contacts: readonly SocketAddress[]) => void;
	readonly receive: (received: ReceivedHeartbeat) => void;
	/** Tells peers of a change of this process at once. */
	readonly announce: () => void;
	/** Takes in a record that was asked for; it isn't passed on. */
	readonly learn: (record: MemberRecord) => Learned;
	readonly forget: (id: string) => void;
	/** Rounds since any peer was heard. */
	readonly roundsUnheard: () => number;
};

/** Parameters of the exchange. */
export type HeartbeatExchangeOptions = {
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
	readonly send: (to: SocketAddress, heartbeat: Heartbeat) => void;
	readonly clock: Clock;
	readonly random: Random;
	/** Probes that a peer must leave unanswered, one a round, to become suspect. */
	readonly silentAfterProbes: number;
	/** Called with ids of which no record is at hand, and the peer that named them. */
	readonly onUnknown: (ids: readonly string[], from: SocketAddress) => void;
	/** Called with a peer that answered a probe. */
	readonly onAnswer: (from: SocketAddress) => void;
	readonly onLearned: (id: string, learned: Learned) => void;
	/** Called once a later process has this id. */
	readonly onSuperseded: (by: MemberBeat) => void;
};

const reprobesPerRound = 3;
/** While no peer at all is heard, silence says little of any one: suspicion takes so many times longer. */
const unheardFactor = 3;
const newsMessagesPerSecond = 8;
const newsMessagesBurst = 64;
const helperCandidates = 4;

/** A version alone isn't passed on: each member tells its own, and all have a new one at about the same time. */
const isNews = (learned: Learned): boolean => learned === 'joined' || learned === 'changed';

/**
 * Creates the exchange.
 *
 * @param options - Own announcement, table and the way to send.
 * @returns The exchange; nothing is sent before the first round.
 */
export const createHeartbeatExchange = (options: HeartbeatExchangeOptions): HeartbeatExchange => {
	const {self, table, send, clock, random, silentAfterProbes} = options;
	const doubts = createDoubts();
	const composer = createHeartbeatComposer({self, table, doubted: doubts.doubted});
	const ring = createTargetRing(random);
	const newsBudget = createTokenBucket(clock, {tokensPerSecond: newsMessagesPerSecond, burst: newsMessagesBurst});
	let roundsUnheard = 0;
	let helper: string | undefined;
	let superseded = false;

	const probe = (id: string) => {
		const known = table.get(id);
		if (known !== undefined) {
			doubts.probed(id);
			send(known.member.peerAddress, composer.compose('probe', id, []));
		}
	};

	const spread = (targets: number) => {
		for (const id of ring.sample(table.known(), targets)) {
			const known = table.get(id);
			if (known !== undefined && newsBudget.tryTake(1)) {
				send(known.member.peerAddress, composer.compose('news', id, []));
			}
		}
	};

	const hearOfSelf = (beat: MemberBeat) => {
		const reaction = self.hear(beat);
		if (reaction === 'refute') {
			spread(ownNewsTargets);
		} else if (reaction === 'yield' && !superseded) {
			superseded = true;
			options.onSuperseded(beat);
		}
	};

	/** Takes in one statement; returns what it brought. */
	const learn = (statement: MemberBeat | MemberRecord): Learned => {
		if (statement.id === self.member().id) {
			hearOfSelf(statement);
			return 'stale';
		}

		const known = table.get(statement.id);
		const learned = table.learn(statement);
		const isOldSuspicion = learned === 'stale' && statement.health === 'suspect' && known?.member.health === 'alive';
		if (isOldSuspicion) {
			doubts.raise(statement.id);
		}

		if (learned === 'refreshed' || learned === 'updated' || learned === 'changed') {
			doubts.heardByOthers(statement.id);
		}

		if (learned !== 'stale' && learned !== 'unknown') {
			options.onLearned(statement.id, learned);
		}

		return learned;
	};

	const learnAll = (heartbeat: Heartbeat, from: SocketAddress) => {
		const statements = [...(heartbeat.records ?? []), heartbeat.sender, ...(heartbeat.beats ?? [])];
		const outcomes = statements.map(statement => ({id: statement.id, learned: learn(statement)}));
		const newsworthy = outcomes.filter(({learned}) => isNews(learned));
		for (const {id, learned} of newsworthy) {
			const passOn = learned === 'joined' ? composer.passOnJoin : composer.passOnChange;
			passOn(id);
		}

		const unknown = outcomes.filter(({learned}) => learned === 'unknown').map(({id}) => id);
		if (unknown.length > 0) {
			options.onUnknown(unknown, from);
		}

		if (newsworthy.length > 0) {
			spread(relayTargets);
		}
	};

	const replyTo = (heartbeat: Heartbeat, from: SocketAddress) => {
		const {id} = heartbeat.sender;
		const known = table.get(id);
		const isOlderThanKnown = known !== undefined && known.member.incarnation > heartbeat.sender.incarnation;
		const asked = (heartbeat.unheard ?? []).slice(0, unheardInMessage);
		send(from, composer.compose('reply', id, isOlderThanKnown ? [id, ...asked] : asked));
		for (const unheard of asked) {
			if (table.get(unheard)?.member.health === 'alive' && doubts.raise(unheard)) {
				probe(unheard);
			}
		}
	};

	/** While a peer is in doubt, one other peer is asked after it in each round, and probes it at once. */
	const chooseHelper = (doubted: readonly string[]): string | undefined => {
		if (doubted.length === 0) {
			return undefined;
		}

		const isFit = helper !== undefined && !doubted.includes(helper) && table.get(helper)?.member.health === 'alive';
		return isFit
			? helper
			: ring.sample(table.known(), helperCandidates).find(id => !doubted.includes(id) && table.get(id)?.member.health === 'alive');
	};

	const roundTargets = (): ReadonlySet<string> => {
		const doubted = doubts.doubted().slice(0, reprobesPerRound);
		helper = chooseHelper(doubted);
		const chosen = [...doubted, ring.next(table.known()), helper];
		return new Set(chosen.filter(id => id !== undefined));
	};

	return {
		round(contacts) {
			self.advance();
			roundsUnheard += 1;
			const limit = roundsUnheard > silentAfterProbes ? silentAfterProbes * unheardFactor : silentAfterProbes;
			for (const id of doubts.endRound(limit)) {
				if (table.suspect(id)) {
					composer.passOnChange(id);
					options.onLearned(id, 'changed');
					spread(relayTargets);
				}
			}

			for (const id of roundTargets()) {
				probe(id);
			}

			for (const address of contacts) {
				send(address, composer.compose('probe', undefined, []));
			}
		},
		receive({from, heartbeat}) {
			const {id} = heartbeat.sender;
			if (id === self.member().id) {
				hearOfSelf(heartbeat.sender);
				return;
			}

			roundsUnheard = 0;
			learnAll(heartbeat, from);
			const known = table.get(id);
			if (known?.member.incarnation === heartbeat.sender.incarnation) {
				doubts.heard(id);
			}

			if (heartbeat.kind === 'reply') {
				composer.introduced(id);
				options.onAnswer(from);
			} else if (heartbeat.kind === 'probe') {
				replyTo(heartbeat, from);
			}
		},
		announce() {
			spread(ownNewsTargets);
		},
		learn,
		forget(id) {
			doubts.forget(id);
			composer.forget(id);
		},
		roundsUnheard: () => roundsUnheard,
	};
};
