/**
 * Fetches member records from peers over JSON-RPC, and answers such requests.
 */
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {MethodHandler, MethodResult} from '@filbertwell/peer-protocol/methods';
import type {PeerCall} from '@filbertwell/peer-protocol/rpcClient';
import type {SocketAddress} from '@filbertwell/types/place';
import {digestOf} from './records.js';

/** Fetches records from peers. A call does nothing while another one is in progress. */
export type MemberFetcher = {
	/** Fetches all members; does nothing after the first success. */
	readonly fetchAll: (from: SocketAddress) => Promise<void>;
	/** Fetches members by id. */
	readonly fetchUnknown: (ids: readonly string[], from: SocketAddress) => Promise<void>;
	/** Compares the digest of the next page of members with a peer's, and merges the peer's page if they differ. */
	readonly comparePage: (from: SocketAddress) => Promise<void>;
};

/** Transport, source and destination of records. */
export type MemberFetcherOptions = {
	readonly call: PeerCall;
	readonly merge: (record: MemberRecord) => void;
	/** Returns all records, including this process's own, ordered by id. */
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
 * Creates the handler of the method `membership.members`.
 *
 * @param records - Returns all records, ordered by id.
 * @returns The handler. It answers with the requested members, or with a page that is empty if its digest matches.
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
 * Creates a fetcher.
 *
 * @param options - Call to peers, own records and callback for fetched records.
 * @returns The fetcher; it logs failed requests and does not reject.
 */
export const createMemberFetcher = ({call, merge, records, log}: MemberFetcherOptions): MemberFetcher => {
	let isAllFetched = false;
	let isFetching = false;
	let comparisonCursor = '';

	const request = async (from: SocketAddress, parameters: Parameters<MethodHandler<'membership.members'>>[0]): Promise<MethodResult<'membership.members'> | undefined> => {
		const answer = await call(from, 'membership.members', parameters);
		if (answer.isErr()) {
			log(membershipEvents.membersNotFetched, {from: `${from.host}:${from.port}`, reason: answer.error.detail});
			return undefined;
		}

		for (const record of answer.value.members) {
			merge(record);
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

	const runExclusively = async (work: () => Promise<void>) => {
		if (!isFetching) {
			isFetching = true;
			await work();
			isFetching = false;
		}
	};

	return {
		async fetchAll(from) {
			if (!isAllFetched) {
				await runExclusively(async () => {
					isAllFetched = await fetchPages(from);
				});
			}
		},
		async fetchUnknown(ids, from) {
			await runExclusively(async () => {
				await request(from, {ids: ids.slice(0, maximumIdsPerRequest)});
			});
		},
		async comparePage(from) {
			await runExclusively(async () => {
				const {page, complete} = pageAfter(records(), comparisonCursor, comparedPageSize);
				const answer = await request(from, {after: comparisonCursor, limit: comparedPageSize, digest: digestOf(page)});
				if (answer !== undefined) {
					const isPassComplete = complete && answer.complete;
					comparisonCursor = isPassComplete ? '' : answer.members.at(-1)?.id ?? page.at(-1)?.id ?? '';
				}
			});
		},
	};
};
