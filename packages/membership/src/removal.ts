/**
 * When a member is forgotten.
 */
import type {ListReading} from './instanceListWatch.js';
import type {MemberTable} from './memberTable.js';

/** What the decision depends on. */
export type RemovalQuestion = {
	readonly table: MemberTable;
	readonly reading: ListReading | undefined;
	/** Monotonic milliseconds. */
	readonly now: number;
	readonly removeAfterMs: number;
	readonly selfId: string;
};

/** A list that lacks most members that answer says nothing about those that don't. */
const trustedListShare = 0.5;

const isTrusted = (listed: ReadonlySet<string>, {table, selfId}: RemovalQuestion): boolean => {
	const answering = [...table.known().values()]
		.filter(({member}) => member.health === 'alive')
		.map(({member}) => member.id);
	const all = [selfId, ...answering];
	return all.filter(id => listed.has(id)).length >= all.length * trustedListShare;
};

/**
 * Finds the members that are both silent and missing from a list read after they fell silent.
 *
 * @param question - The members, the latest reading and the time.
 * @returns Their ids.
 */
export const findGone = (question: RemovalQuestion): readonly string[] => {
	const {table, reading, now, removeAfterMs} = question;
	if (reading === undefined) {
		return [];
	}

	const silent = [...table.known().values()].filter(({suspectSinceMs}) => suspectSinceMs !== undefined
		&& now - suspectSinceMs >= removeAfterMs
		&& reading.readAtMs > suspectSinceMs);
	if (silent.length === 0) {
		return [];
	}

	const listed = new Set(reading.instances.map(({id}) => id));
	return isTrusted(listed, question)
		? silent.map(({member}) => member.id).filter(id => !listed.has(id))
		: [];
};
