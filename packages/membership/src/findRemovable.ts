/**
 * Decides which members are removed.
 */
import type {ListReading} from './instanceListPoller.js';
import type {MemberTable} from './memberTable.js';

/** State on which the removal of members depends. */
export type RemovalInput = {
	readonly table: MemberTable;
	/** Latest reading of the platform's instance list; `undefined` without one. */
	readonly reading: ListReading | undefined;
	/** Monotonic milliseconds. */
	readonly now: number;
	/** Time for which a member must be suspect, in milliseconds. */
	readonly removeAfterMs: number;
	readonly selfId: string;
};

/** A list is trusted only if it contains at least this share of the alive members: one that lacks most of them says nothing about suspect ones. */
const trustedListShare = 0.5;

const isTrusted = (listed: ReadonlySet<string>, {table, selfId}: RemovalInput): boolean => {
	const aliveIds = [...table.known().values()]
		.filter(({member}) => member.health === 'alive')
		.map(({member}) => member.id);
	const memberIds = [selfId, ...aliveIds];
	return memberIds.filter(id => listed.has(id)).length >= memberIds.length * trustedListShare;
};

/**
 * Finds the members that have been suspect for long enough and are missing from a list that was
 * read after they became suspect.
 *
 * @param input - The members, the latest reading and the time.
 * @returns Ids of these members; empty without a trusted list.
 */
export const findRemovable = (input: RemovalInput): readonly string[] => {
	const {table, reading, now, removeAfterMs} = input;
	if (reading === undefined) {
		return [];
	}

	const suspects = [...table.known().values()].filter(({suspectSinceMs}) => suspectSinceMs !== undefined
		&& now - suspectSinceMs >= removeAfterMs
		&& reading.readAtMs > suspectSinceMs);
	if (suspects.length === 0) {
		return [];
	}

	const listed = new Set(reading.instances.map(({id}) => id));
	return isTrusted(listed, input)
		? suspects.map(({member}) => member.id).filter(id => !listed.has(id))
		: [];
};
