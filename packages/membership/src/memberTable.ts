/**
 * Table of the peers that this process knows.
 */
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {Member} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';

/** Peer with the sequence number of its latest update. */
export type KnownMember = {
	readonly member: Member;
	readonly sequence: number;
	/** Time when it became suspect, in monotonic milliseconds; `undefined` while alive. */
	readonly suspectSinceMs: number | undefined;
};

/**
 * Outcome of merging an update of a peer.
 * `unknown`: a beat of a peer or an incarnation without a record. `stale`: nothing new.
 * `refreshed`: only a higher sequence. `updated`: also a higher configuration version.
 * `changed`: another state or health. `joined`: the first record, or that of a new incarnation.
 */
export type MergeOutcome = 'unknown' | 'stale' | 'refreshed' | 'updated' | 'changed' | 'joined';

/** Peers by id, without this process. */
export type MemberTable = {
	readonly get: (id: string) => KnownMember | undefined;
	readonly known: () => ReadonlyMap<string, KnownMember>;
	/** Merges a beat or a record if it is newer than the known state. */
	readonly merge: (beat: MemberBeat | MemberRecord) => MergeOutcome;
	/** Marks a peer as suspect at its last known sequence; returns whether it was alive. */
	readonly suspect: (id: string) => boolean;
	/** Removes a peer; only a newer record adds it again. */
	readonly remove: (id: string) => void;
	/** Removed peers, most recently removed last. */
	readonly removed: () => readonly Member[];
	/** Increases with each change except a refreshed sequence or load. */
	readonly version: () => number;
};

type RemovedMember = {
	readonly member: Member;
	readonly sequence: number;
};

const maximumMembers = 4096;
const maximumRemoved = 1024;
const idleLoad = {inFlight: 0, queued: 0, requestsPerSecond: 0};

type BeatVersion = Pick<MemberBeat, 'incarnation' | 'sequence'>;

const compareBeatVersions = (a: BeatVersion, b: BeatVersion): number => (a.incarnation - b.incarnation) || (a.sequence - b.sequence);

/** At equal incarnation and sequence a suspicion counts as newer, until the member itself sends a higher sequence. */
const isNewer = (beat: MemberBeat, known: BeatVersion, health: Member['health']): boolean => {
	const difference = compareBeatVersions(beat, known);
	return difference > 0 || (difference === 0 && beat.health === 'suspect' && health === 'alive');
};

const isRecord = (beat: MemberBeat | MemberRecord): beat is MemberRecord => 'peerAddress' in beat;

const memberFromRecord = ({sequence: _, load = idleLoad, ...rest}: MemberRecord): Member => ({...rest, load});

const withBeat = (member: Member, beat: MemberBeat): Member => ({
	...member,
	state: beat.state,
	health: beat.health,
	configurationVersion: Math.max(member.configurationVersion, beat.configurationVersion),
	load: beat.load ?? member.load,
});

const compareMembers = (before: Member, after: Member): MergeOutcome => {
	if (before.state !== after.state || before.health !== after.health) {
		return 'changed';
	}

	return before.configurationVersion === after.configurationVersion ? 'refreshed' : 'updated';
};

/**
 * Creates an empty table.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The table.
 */
export const createMemberTable = (clock: Clock): MemberTable => {
	const known = new Map<string, KnownMember>();
	const removed = new Map<string, RemovedMember>();
	let version = 0;

	const store = (member: Member, sequence: number) => {
		const knownSuspectSinceMs = known.get(member.id)?.suspectSinceMs;
		known.set(member.id, {
			member,
			sequence,
			suspectSinceMs: member.health === 'suspect' ? knownSuspectSinceMs ?? clock() : undefined,
		});
	};

	const join = (record: MemberRecord): MergeOutcome => {
		const before = removed.get(record.id);
		const isOutdated = before !== undefined && compareBeatVersions(record, {...before.member, sequence: before.sequence}) <= 0;
		if (isOutdated || (known.size >= maximumMembers && !known.has(record.id))) {
			return 'stale';
		}

		removed.delete(record.id);
		known.delete(record.id);
		store(memberFromRecord(record), record.sequence);
		version += 1;
		return 'joined';
	};

	const update = (current: KnownMember, beat: MemberBeat): MergeOutcome => {
		const member = withBeat(current.member, beat);
		store(member, beat.sequence);
		const outcome = compareMembers(current.member, member);
		version += outcome === 'refreshed' ? 0 : 1;
		return outcome;
	};

	return {
		get: id => known.get(id),
		known: () => known,
		merge(beat) {
			const current = known.get(beat.id);
			if (current === undefined) {
				return isRecord(beat) ? join(beat) : 'unknown';
			}

			if (!isNewer(beat, {incarnation: current.member.incarnation, sequence: current.sequence}, current.member.health)) {
				return 'stale';
			}

			if (beat.incarnation === current.member.incarnation) {
				return update(current, beat);
			}

			return isRecord(beat) ? join(beat) : 'unknown';
		},
		suspect(id) {
			const current = known.get(id);
			if (current === undefined || current.member.health === 'suspect') {
				return false;
			}

			store({...current.member, health: 'suspect'}, current.sequence);
			version += 1;
			return true;
		},
		remove(id) {
			const current = known.get(id);
			if (current === undefined) {
				return;
			}

			known.delete(id);
			removed.delete(id);
			removed.set(id, current);
			const [oldest] = removed.keys();
			if (removed.size > maximumRemoved && oldest !== undefined) {
				removed.delete(oldest);
			}

			version += 1;
		},
		removed: () => [...removed.values()].map(({member}) => member),
		version: () => version,
	};
};
