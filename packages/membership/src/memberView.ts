/**
 * The members as the rest of the process sees them.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {Member} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';
import type {MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** View of the members, this process included. */
export type MemberView = {
	/** Members ordered by id. */
	readonly members: () => readonly Member[];
	/** Takes in the platform's list; returns whether it changes a member. */
	readonly setListed: (instances: readonly ListedInstance[]) => boolean;
};

type Shown = {
	readonly members: readonly Member[];
	readonly version: number;
	readonly self: Member;
	readonly atMs: number;
};

/** Peers' loads are shown anew this often; all other changes are shown at once. */
const loadRefreshMs = 1000;

const compareIds = (a: Member, b: Member): number => a.id < b.id ? -1 : 1;

/**
 * Creates the view.
 *
 * @param self - This process's announcement.
 * @param table - The peers.
 * @param clock - Monotonic milliseconds.
 * @returns The view. A peer that the platform lists as leaving is shown as leaving.
 */
export const createMemberView = (self: SelfAnnouncement, table: MemberTable, clock: Clock): MemberView => {
	let shown: Shown | undefined;
	let listedLeaving: ReadonlySet<string> = new Set();

	const show = (member: Member): Member => member.state === 'serving' && listedLeaving.has(member.id)
		? {...member, state: 'leaving'}
		: member;

	return {
		members() {
			const isCurrent = shown?.version === table.version()
				&& shown.self === self.member()
				&& clock() - shown.atMs < loadRefreshMs;
			shown = isCurrent
				? shown
				: {
					members: [self.member(), ...[...table.known().values()].map(({member}) => show(member))].toSorted(compareIds),
					version: table.version(),
					self: self.member(),
					atMs: clock(),
				};
			return shown!.members;
		},
		setListed(instances) {
			const leaving = new Set(instances
				.filter(({id, state}) => state === 'leaving' && table.get(id) !== undefined)
				.map(({id}) => id));
			const isSame = leaving.size === listedLeaving.size && [...leaving].every(id => listedLeaving.has(id));
			listedLeaving = leaving;
			shown = isSame ? shown : undefined;
			return !isSame;
		},
	};
};
