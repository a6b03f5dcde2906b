/**
 * Fetches members' records from peers over JSON-RPC, and answers such requests.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {MethodHandler, MethodResult} from '@filbertwell/peer-protocol/methods';
import type {PeerCall} from '@filbertwell/peer-protocol/rpcClient';
import type {SocketAddress} from '@filbertwell/types/place';
import {digestOf} from './records.js';

/** Fetches records from peers. */
export type MemberFetch = {
	/** Fetches all members once; later calls do nothing until `reset`. */
	readonly fetchAll: (from: SocketAddress) => Promise<void>;
	/** Fetches members by id, at most one request at a time. */
	readonly fetchUnknown: (ids: readonly string[], from: SocketAddress) => Promise<void>;
	/** Compares the next page of members with a peer's and takes in the difference. */
	readonly comparePage: (from: SocketAddress) => Promise<void>;
};

/** Parameters of the fetch. */
export type MemberFetchOptions = {
	readonly call: PeerCall;
	readonly learn: (record: MemberRecord) => void;
	/** All records, this process's own included, ordered by id. */
	readonly records: () => readonly MemberRecord[];
	readonly log: Logger;
};

const fetchedPageSize = 200;
const comparedPageSize = 32;
const maximumPages = 32;
const maximumIdsPerRequest = 32;

const pageAfter = (records: readonly MemberRecord[], after: string, limit: number) => {
	const following = records.filter(({id}) => id > after);
	return {page: following.slice(0, limit), complete: following.length <= limit};
};

/**
 * Answers `membership.members`.
 *
 * @param records - All records, ordered by id.
 * @returns The handler.
 */
export const createMembersHandler = (records: () => readonly MemberRecord[]): MethodHandler<'membership.members'> => ({ids, after = '', limit = fetchedPageSize, digest}) => {
	if (ids !== undefined) {
		return {members: records().filter(({id}) => ids.includes(id)), complete: true, unchanged: false};
	}

	const {page, complete} = pageAfter(records(), after, Math.min(limit, fetchedPageSize));
	const unchanged = digest !== undefined && digest === digestOf(page);
	return {members: unchanged ? [] : page, complete, unchanged};
};

/**
 * Creates the fetch.
 *
 * @param options - The way to call peers and where records go.
 * @returns The fetch.
 */
export const createMemberFetch = ({call, learn, records, log}: MemberFetchOptions): MemberFetch => {
	let allFetched = false;
	let fetching = false;
	let comparedTo = '';

	const request = async (from: SocketAddress, parameters: Parameters<MethodHandler<'membership.members'>>[0]): Promise<MethodResult<'membership.members'> | undefined> => {
		const answer = await call(from, 'membership.members', parameters);
		if (answer.isErr()) {
			log(membershipEvents.membersNotFetched, {from: `${from.host}:${from.port}`, reason: answer.error.detail});
			return undefined;
		}

		for (const record of answer.value.members) {
			learn(record);
		}

		return answer.value;
	};

	const fetchPages = async (from: SocketAddress): Promise<boolean> => {
		let after = '';
		for (let page = 0; page < maximumPages; page++) {
			const answer = await request(from, {after, limit: fetchedPageSize}); // eslint-disable-line no-await-in-loop
			if (answer === undefined) {
				return false;
			}

			if (answer.complete) {
				return true;
			}

			after = answer.members.at(-1)?.id ?? after;
		}

		return true;
	};

	const alone = async (work: () => Promise<void>) => {
		if (!fetching) {
			fetching = true;
			await work();
			fetching = false;
		}
	};

	return {
		async fetchAll(from) {
			if (!allFetched) {
				await alone(async () => {
					allFetched = await fetchPages(from);
				});
			}
		},
		async fetchUnknown(ids, from) {
			await alone(async () => {
				await request(from, {ids: ids.slice(0, maximumIdsPerRequest)});
			});
		},
		async comparePage(from) {
			await alone(async () => {
				const {page, complete} = pageAfter(records(), comparedTo, comparedPageSize);
				const answer = await request(from, {after: comparedTo, limit: comparedPageSize, digest: digestOf(page)});
				if (answer !== undefined) {
					const isPassOver = complete && answer.complete;
					comparedTo = isPassOver ? '' : answer.members.at(-1)?.id ?? page.at(-1)?.id ?? '';
				}
			});
		},
	};
};
