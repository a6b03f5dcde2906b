/**
 * What this process says of itself, and what it does when peers know its id otherwise.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {LoadSummary, Member, MemberState} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';
import {toBeat, toRecord} from './records.js';

/** Who this process is, from its settings. */
export type MemberIdentity = Pick<Member, 'id' | 'role' | 'region' | 'availabilityZone' | 'site' | 'capacity' | 'callerAddress' | 'peerAddress'>;

/**
 * What a peer's statement about this process calls for.
 * `none`: it is known. `refute`: say at once that it is wrong. `yield`: a later process has this id.
 */
export type SelfReaction = 'none' | 'refute' | 'yield';

/** This process's own announcement. */
export type SelfAnnouncement = {
	readonly member: () => Member;
	readonly beat: () => MemberBeat;
	readonly record: () => MemberRecord;
	/** Begins a new sequence number, so that peers see that the process lives. */
	readonly advance: () => void;
	readonly setState: (state: MemberState) => void;
	readonly setConfigurationVersion: (version: number) => void;
	readonly setLoad: (load: LoadSummary) => void;
	/** Takes in what a peer says of this id. */
	readonly hear: (beat: MemberBeat) => SelfReaction;
};

/** Parameters of the announcement. */
export type SelfAnnouncementOptions = {
	readonly identity: MemberIdentity;
	/** Number of this start; later starts should have higher ones. */
	readonly firstIncarnation: number;
	readonly clock: Clock;
	readonly log: Logger;
};

/** A process that has run for longer gives way to a later one; a younger one counts on from it. */
const youngProcessMs = 60_000;

/**
 * Creates the announcement of a process that starts.
 *
 * @param options - Identity and first incarnation.
 * @returns The announcement.
 */
export const createSelfAnnouncement = ({identity, firstIncarnation, clock, log}: SelfAnnouncementOptions): SelfAnnouncement => {
	const startedAtMs = clock();
	let sequence = 1;
	let member: Member = {
		...identity,
		incarnation: firstIncarnation,
		state: 'starting',
		health: 'alive',
		configurationVersion: 0,
		load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
	};

	const change = (changes: Partial<Member>) => {
		member = {...member, ...changes};
		sequence += 1;
	};

	const hearHigherIncarnation = (incarnation: number): SelfReaction => {
		if (clock() - startedAtMs > youngProcessMs) {
			return 'yield';
		}

		log(membershipEvents.incarnationRaised, {id: member.id, from: member.incarnation, to: incarnation + 1});
		change({incarnation: incarnation + 1});
		return 'refute';
	};

	return {
		member: () => member,
		beat: () => ({...toBeat({member, sequence}), load: member.load}),
		record: () => toRecord(member, sequence),
		advance() {
			sequence += 1;
		},
		setState(state) {
			change({state});
		},
		setConfigurationVersion(configurationVersion) {
			change({configurationVersion});
		},
		setLoad(load) {
			member = {...member, load};
		},
		hear(beat) {
			if (beat.incarnation > member.incarnation) {
				return hearHigherIncarnation(beat.incarnation);
			}

			const isAhead = beat.incarnation === member.incarnation && beat.sequence > sequence;
			if (isAhead) {
				return hearHigherIncarnation(beat.incarnation);
			}

			if (beat.incarnation === member.incarnation && beat.health === 'suspect') {
				sequence += 1;
				return 'refute';
			}

			return 'none';
		},
	};
};
