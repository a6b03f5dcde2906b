/**
 * What goes into each heartbeat.
 */
import {fitHeartbeat} from '@filbertwell/peer-protocol/datagram';
import type {Heartbeat, HeartbeatKind} from '@filbertwell/peer-protocol/heartbeat';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import {messagesPerChange, messagesPerJoin} from './dissemination.js';
import type {MemberTable} from './memberTable.js';
import {createNewsQueue} from './newsQueue.js';
import {toBeat, toRecord} from './records.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** Composes heartbeats. */
export type HeartbeatComposer = {
	/** Composes a heartbeat to a peer, or to an address whose owner is unknown; `asked` are members to tell of. */
	readonly compose: (kind: HeartbeatKind, to: string | undefined, asked: readonly string[]) => Heartbeat;
	/** Lets the record of a new member go into the next messages. */
	readonly passOnJoin: (id: string) => void;
	/** Lets the beat of a changed member go into the next messages. */
	readonly passOnChange: (id: string) => void;
	/** Notes that a peer has this process's record. */
	readonly introduced: (id: string) => void;
	readonly forget: (id: string) => void;
};

/** Parameters of the composer. */
export type HeartbeatComposerOptions = {
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
	/** Peers that do not answer. */
	readonly doubted: () => readonly string[];
};

/** Most peers in doubt that a heartbeat asks after. */
export const unheardInMessage = 3;

/** With the sender's own beat, so many items fit into a datagram; a record takes the room of several beats. */
const beatsPerMessage = 8;
const recordsPerMessage = 2;
const beatsPerRecord = 3;
/** One probe in so many carries the beat of another member. */
const probesPerSample = 4;

/**
 * Creates the composer.
 *
 * @param options - Own announcement, table and peers in doubt.
 * @returns The composer, with no news to pass on.
 */
export const createHeartbeatComposer = ({self, table, doubted}: HeartbeatComposerOptions): HeartbeatComposer => {
	const joins = createNewsQueue();
	const changes = createNewsQueue();
	const introducedTo = new Set<string>();
	let introducedIncarnation = self.member().incarnation;
	let sampleAt = 0;
	let probes = 0;

	const isIntroducedTo = (id: string | undefined): boolean => {
		if (introducedIncarnation !== self.member().incarnation) {
			introducedTo.clear();
			introducedIncarnation = self.member().incarnation;
		}

		return id !== undefined && introducedTo.has(id);
	};

	const beatsOf = (ids: readonly string[]): MemberBeat[] => ids.flatMap(id => {
		const known = table.get(id);
		return known === undefined ? [] : [toBeat(known)];
	});

	const recordsOf = (ids: readonly string[]): MemberRecord[] => ids.flatMap(id => {
		const known = table.get(id);
		return known === undefined ? [] : [toRecord(known.member, known.sequence)];
	});

	/** The next member in turn, so that beats travel also without changes. */
	const sampleFor = (receiver: string | undefined): MemberBeat[] => {
		probes += 1;
		if (probes % probesPerSample !== 0) {
			return [];
		}

		const ids = [...table.known().keys()];
		sampleAt = (sampleAt + 1) % Math.max(ids.length, 1);
		const id = ids[sampleAt];
		return id === undefined || id === receiver ? [] : beatsOf([id]);
	};

	return {
		compose(kind, to, asked) {
			const own = isIntroducedTo(to) ? [] : [self.record()];
			const records = [...own, ...recordsOf(joins.take(recordsPerMessage - own.length))];
			const changed = changes.take(beatsPerMessage - asked.length - (records.length * beatsPerRecord));
			const sampled = kind === 'probe' ? sampleFor(to) : [];
			const beats = [...beatsOf([...asked, ...changed]), ...sampled];
			const unheard = doubted().filter(id => id !== to).slice(0, unheardInMessage);
			return fitHeartbeat({
				kind,
				sender: self.beat(),
				...(records.length > 0 && {records}),
				...(beats.length > 0 && {beats}),
				...(unheard.length > 0 && {unheard}),
			});
		},
		passOnJoin(id) {
			joins.add(id, messagesPerJoin);
		},
		passOnChange(id) {
			changes.add(id, messagesPerChange(table.known().size));
		},
		introduced(id) {
			introducedTo.add(id);
		},
		forget(id) {
			introducedTo.delete(id);
		},
	};
};
