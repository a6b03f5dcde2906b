/**
 * Composes heartbeats: selects the records and beats that each message carries.
 */
import {fitHeartbeat} from '@filbertwell/peer-protocol/datagram';
import type {Heartbeat, HeartbeatKind} from '@filbertwell/peer-protocol/heartbeat';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import {messagesPerChange, messagesPerJoin} from './dissemination.js';
import type {MemberTable} from './memberTable.js';
import {createBroadcastQueue} from './broadcastQueue.js';
import {toBeat, toRecord} from './records.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** Composes heartbeats. */
export type HeartbeatComposer = {
	/**
	 * Composes a heartbeat for the peer `to`, or for an address whose member id is unknown if `to` is
	 * `undefined`. `requestedIds` are members whose beats the receiver requested.
	 */
	readonly compose: (kind: HeartbeatKind, to: string | undefined, requestedIds: readonly string[]) => Heartbeat;
	/** Queues the record of a new member for the next messages. */
	readonly enqueueJoin: (id: string) => void;
	/** Queues the beat of a changed member for the next messages. */
	readonly enqueueChange: (id: string) => void;
	/** Records that a peer has this process's record, so that later heartbeats to it omit the record. */
	readonly markOwnRecordReceived: (id: string) => void;
	readonly removePeer: (id: string) => void;
};

/** Sources of the content of heartbeats. */
export type HeartbeatComposerOptions = {
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
	/** Returns the peers that leave probes unanswered. */
	readonly unresponsivePeers: () => readonly string[];
	/** Returns the peers that have just sent a message to this process. */
	readonly freshPeers: () => readonly string[];
};

/** Largest number of unresponsive peers that a heartbeat lists as `unheard`. */
export const maximumUnheardIds = 3;

/** Numbers of items that fit into a datagram together with the sender's own beat; a record takes the space of several beats. */
const beatsPerMessage = 8;
const recordsPerMessage = 2;
const beatsPerRecord = 3;
/** One in this many probes carries the beat of another member. */
const probesPerSample = 4;

/**
 * Creates a composer with empty queues.
 *
 * @param options - Own announcement, member table and unresponsive peers.
 * @returns The composer.
 */
export const createHeartbeatComposer = ({self, table, unresponsivePeers, freshPeers}: HeartbeatComposerOptions): HeartbeatComposer => {
	const joinQueue = createBroadcastQueue();
	const changeQueue = createBroadcastQueue();
	const ownRecordReceivers = new Set<string>();
	let ownRecordIncarnation = self.member().incarnation;
	let sampleIndex = 0;
	let probes = 0;

	const hasOwnRecord = (id: string | undefined): boolean => {
		if (ownRecordIncarnation !== self.member().incarnation) {
			ownRecordReceivers.clear();
			ownRecordIncarnation = self.member().incarnation;
		}

		return id !== undefined && ownRecordReceivers.has(id);
	};

	const beatsOf = (ids: readonly string[]): MemberBeat[] => ids.flatMap(id => {
		const known = table.get(id);
		return known === undefined ? [] : [toBeat(known)];
	});

	const recordsOf = (ids: readonly string[]): MemberRecord[] => ids.flatMap(id => {
		const known = table.get(id);
		return known === undefined ? [] : [toRecord(known.member, known.sequence)];
	});

	/**
	 * Returns the beat of the next fresh peer in turn, so that beats spread even if nothing changes. An older beat could make
	 * a lost member look alive again to members that already suspect it.
	 */
	const sampleFor = (receiver: string | undefined): MemberBeat[] => {
		probes += 1;
		if (probes % probesPerSample !== 0) {
			return [];
		}

		const ids = freshPeers();
		sampleIndex = (sampleIndex + 1) % Math.max(ids.length, 1);
		const id = ids[sampleIndex];
		return id === undefined || id === receiver ? [] : beatsOf([id]);
	};

	return {
		compose(kind, to, requestedIds) {
			const own = hasOwnRecord(to) ? [] : [self.record()];
			const records = [...own, ...recordsOf(joinQueue.take(recordsPerMessage - own.length))];
			const changedIds = changeQueue.take(beatsPerMessage - requestedIds.length - (records.length * beatsPerRecord));
			const sampled = kind === 'probe' ? sampleFor(to) : [];
			const beats = [...beatsOf([...requestedIds, ...changedIds]), ...sampled];
			const unheard = unresponsivePeers().filter(id => id !== to).slice(0, maximumUnheardIds);
			return fitHeartbeat({
				kind,
				sender: self.beat(),
				...(records.length > 0 && {records}),
				...(beats.length > 0 && {beats}),
				...(unheard.length > 0 && {unheard}),
			});
		},
		enqueueJoin(id) {
			joinQueue.add(id, messagesPerJoin);
		},
		enqueueChange(id) {
			changeQueue.add(id, messagesPerChange(table.known().size));
		},
		markOwnRecordReceived(id) {
			ownRecordReceivers.add(id);
		},
		removePeer(id) {
			ownRecordReceivers.delete(id);
		},
	};
};
