/**
 * What this process knows of its peers.
 */
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {Member} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';

/** A peer with the age of what is known of it. */
export type KnownMember = {
	readonly member: Member;
	readonly sequence: number;
	/** When it became suspect, in monotonic milliseconds; `undefined` while alive. */
	readonly suspectSinceMs: number | undefined;
};

/**
 * What a message about a peer brought.
 * `unknown`: a beat of a peer of which no record is at hand. `stale`: nothing new.
 * `refreshed`: a higher sequence alone. `updated`: a higher configuration version besides.
 * `changed`: another state or health. `joined`: the first record, or that of a new incarnation.
 */
export type Learned = 'unknown' | 'stale' | 'refreshed' | 'updated' | 'changed' | 'joined';

/** The peers by id. */
export type MemberTable = {
	readonly get: (id: string) => KnownMember | undefined;
	readonly known: () => ReadonlyMap<string, KnownMember>;
	/** Takes in a beat or a record if it is newer than what is known. */
	readonly learn: (beat: MemberBeat | MemberRecord) => Learned;
	/** Marks a peer as suspect at the sequence last known; returns whether it was alive. */
	readonly suspect: (id: string) => boolean;
	/** Forgets a peer; only a newer record brings it back. */
	readonly remove: (id: string) => void;
	/** Peers that were removed, newest last. */
	readonly removed: () => readonly Member[];
	/** Rises with each change but a refreshed sequence or load. */
	readonly version: () => number;
};

type Removed = {
	readonly member: Member;
	readonly sequence: number;
};

const maximumMembers = 4096;
const maximumRemoved = 1024;
const idleLoad = {inFlight: 0, queued: 0, requestsPerSecond: 0};

type Age = Pick<MemberBeat, 'incarnation' | 'sequence'>;

const compareAge = (a: Age, b: Age): number => (a.incarnation - b.incarnation) || (a.sequence - b.sequence);

/** At equal age a suspicion is the newer statement, until the member itself speaks again. */
const isNewer = (beat: MemberBeat, known: Age, health: Member['health']): boolean => {
	const difference = compareAge(beat, known);
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

const compareMembers = (before: Member, after: Member): Learned => {
	if (before.state !== after.state || before.health !== after.health) {
		return 'changed';
	}

	return before.configurationVersion === after.configurationVersion ? 'refreshed' : 'updated';
};

/**
 * Creates an empty table.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The table.
 */
export const createMemberTable = (clock: Clock): MemberTable => {
	const known = new Map<string, KnownMember>();
	const removed = new Map<string, Removed>();
	let version = 0;

	const store = (member: Member, sequence: number) => {
		const earlier = known.get(member.id)?.suspectSinceMs;
		known.set(member.id, {
			member,
			sequence,
			suspectSinceMs: member.health === 'suspect' ? earlier ?? clock() : undefined,
		});
	};

	const join = (record: MemberRecord): Learned => {
		const before = removed.get(record.id);
		const isOld = before !== undefined && compareAge(record, {...before.member, sequence: before.sequence}) <= 0;
		if (isOld || (known.size >= maximumMembers && !known.has(record.id))) {
			return 'stale';
		}

		removed.delete(record.id);
		known.delete(record.id);
		store(memberFromRecord(record), record.sequence);
		version += 1;
		return 'joined';
	};

	const update = (current: KnownMember, beat: MemberBeat): Learned => {
		const member = withBeat(current.member, beat);
		store(member, beat.sequence);
		const learned = compareMembers(current.member, member);
		version += learned === 'refreshed' ? 0 : 1;
		return learned;
	};

	return {
		get: id => known.get(id),
		known: () => known,
		learn(beat) {
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
