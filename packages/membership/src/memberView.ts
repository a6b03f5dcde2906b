/**
 * View of the members that the other parts of the process use.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {Member} from '@filbertwell/types/member';
import type {Clock} from '@filbertwell/utils/clock';
import type {MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** View of the members, including this process. */
export type MemberView = {
	/** Members ordered by id. The same array is returned until a member changes or loads are refreshed. */
	readonly members: () => readonly Member[];
	/** Applies the platform's instance list; returns whether that changes a member. */
	readonly setListed: (instances: readonly ListedInstance[]) => boolean;
};

type CachedView = {
	readonly members: readonly Member[];
	readonly version: number;
	readonly self: Member;
	readonly atMs: number;
};

/** Interval at which loads of peers are refreshed; all other changes are visible at once. */
const loadRefreshMs = 1000;

const compareIds = (a: Member, b: Member): number => a.id < b.id ? -1 : 1;

/**
 * Creates a view.
 *
 * @param self - Announcement of this process.
 * @param table - The peers.
 * @param clock - Monotonic clock in milliseconds.
 * @returns The view. A serving peer that the platform lists as leaving has the state `leaving`.
 */
export const createMemberView = (self: SelfAnnouncement, table: MemberTable, clock: Clock): MemberView => {
	let cachedView: CachedView | undefined;
	let listedLeaving: ReadonlySet<string> = new Set();

	const withListedState = (member: Member): Member => member.state === 'serving' && listedLeaving.has(member.id)
		? {...member, state: 'leaving'}
		: member;

	return {
		members() {
			const isCurrent = cachedView?.version === table.version()
				&& cachedView.self === self.member()
				&& clock() - cachedView.atMs < loadRefreshMs;
			cachedView = isCurrent
				? cachedView
				: {
					members: [self.member(), ...[...table.known().values()].map(({member}) => withListedState(member))].toSorted(compareIds),
					version: table.version(),
					self: self.member(),
					atMs: clock(),
				};
			return cachedView!.members;
		},
		setListed(instances) {
			const leaving = new Set(instances
				.filter(({id, state}) => state === 'leaving' && table.get(id) !== undefined)
				.map(({id}) => id));
			const isUnchanged = leaving.size === listedLeaving.size && [...leaving].every(id => listedLeaving.has(id));
			listedLeaving = leaving;
			cachedView = isUnchanged ? cachedView : undefined;
			return !isUnchanged;
		},
	};
};
