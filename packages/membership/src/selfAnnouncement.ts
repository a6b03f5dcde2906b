/**
 * State that this process announces to its peers, and its reaction to updates about its own id.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {LoadSummary, Member, MemberState} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';
import {toBeat, toRecord} from './records.js';

/** Identity of this process, from its settings. */
export type MemberIdentity = Pick<Member, 'id' | 'role' | 'region' | 'availabilityZone' | 'site' | 'capacity' | 'callerAddress' | 'peerAddress'>;

/**
 * Reaction to a peer's update about this process.
 * `none`: no action. `refute`: send the correct state at once. `yield`: a later process uses this id.
 */
export type SelfReaction = 'none' | 'refute' | 'yield';

/** Announcement of this process. */
export type SelfAnnouncement = {
	readonly member: () => Member;
	readonly beat: () => MemberBeat;
	readonly record: () => MemberRecord;
	/** Increments the sequence number, which shows peers that the process is alive. */
	readonly advance: () => void;
	readonly setState: (state: MemberState) => void;
	readonly setConfigurationVersion: (version: number) => void;
	readonly setLoad: (load: LoadSummary) => void;
	/** Evaluates a beat with this process's id that a peer sent. */
	readonly handleBeat: (beat: MemberBeat) => SelfReaction;
};

/** Identity and first incarnation of the process. */
export type SelfAnnouncementOptions = {
	readonly identity: MemberIdentity;
	/** Number of this start of the process; later starts should have higher numbers. */
	readonly firstIncarnation: number;
	readonly clock: Clock;
	readonly log: Logger;
};

/**
 * A process with a longer uptime yields to a newer incarnation of its id. A younger one raises its
 * own incarnation above it, because its clock may be behind that of its predecessor.
 */
const yieldAfterUptimeMs = 60_000;

/**
 * Creates the announcement of a starting process.
 *
 * @param options - Identity, first incarnation, clock and log.
 * @returns The announcement, in state `starting`.
 */
export const createSelfAnnouncement = ({identity, firstIncarnation, clock, log}: SelfAnnouncementOptions): SelfAnnouncement => {
	const startedAtMs = clock();
	let sequence = 1;
	let member: Member = {
		...identity,
		acceptsDeflate: true,
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

	const handleNewerIncarnation = (incarnation: number): SelfReaction => {
		if (clock() - startedAtMs > yieldAfterUptimeMs) {
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
		handleBeat(beat) {
			if (beat.incarnation > member.incarnation) {
				return handleNewerIncarnation(beat.incarnation);
			}

			const hasHigherSequence = beat.incarnation === member.incarnation && beat.sequence > sequence;
			if (hasHigherSequence) {
				return handleNewerIncarnation(beat.incarnation);
			}

			if (beat.incarnation === member.incarnation && beat.health === 'suspect') {
				sequence += 1;
				return 'refute';
			}

			return 'none';
		},
	};
};
