/**
 * Directory of entries for one caller, based on look-ups that are cached for their lifetime.
 */
import type {Agent} from 'node:http';
import type {LookupAnswer} from '@filbertwell/types/lookupAnswer';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {sendAttempt} from './attempt.js';

/** Dependencies and options of an entry directory. */
export type EntryDirectoryOptions = {
	/** Addresses of entries to send look-ups to. */
	readonly entries: readonly SocketAddress[];
	/** Client address sent with look-ups; `undefined` for the address of the connection. */
	readonly callerAddress: string | undefined;
	readonly clock: Clock;
	readonly random: Random;
	readonly agent: Agent;
};

/** A directory of entries. */
export type EntryDirectory = {
	/**
	 * Returns the addresses of entries for a service in order of preference. If all look-ups fail, the result is
	 * the last cached addresses, or empty if there are none.
	 */
	readonly findEntries: (service: string) => Promise<readonly SocketAddress[]>;
};

type CachedAnswer = {
	readonly addresses: readonly SocketAddress[];
	readonly validUntilMs: number;
};

const lookupTimeoutMs = 2000;
const millisecondsPerSecond = 1000;

const parseLookupAnswer = (body: string): LookupAnswer | undefined => {
	try {
		const answer = JSON.parse(body) as Partial<LookupAnswer>;
		return Array.isArray(answer.addresses) && answer.addresses.length > 0 ? answer as LookupAnswer : undefined;
	} catch {
		return undefined;
	}
};

/**
 * Shuffles a list.
 *
 * @param items - The list, which is left unchanged.
 * @param random - Generator of uniform random numbers.
 * @returns A copy of the list in random order.
 */
export const shuffle = <Item>(items: readonly Item[], random: Random): Item[] => items
	.map(item => ({item, rank: random()}))
	.toSorted((a, b) => a.rank - b.rank)
	.map(({item}) => item);

/**
 * Creates the entry directory of a caller, with an empty cache.
 *
 * @param options - Entries for look-ups, the caller's address, clock, random numbers and HTTP agent.
 * @returns The directory.
 */
export const createEntryDirectory = ({entries, callerAddress, clock, random, agent}: EntryDirectoryOptions): EntryDirectory => {
	const cache = new Map<string, CachedAnswer>();
	const pendingRefreshes = new Map<string, Promise<readonly SocketAddress[]>>();

	const lookUp = async (service: string, address: SocketAddress): Promise<CachedAnswer | undefined> => {
		const query = new URLSearchParams({service, ...(callerAddress === undefined ? {} : {address: callerAddress})});
		const {status, body} = await sendAttempt({
			address, method: 'GET', path: `/lookup?${query.toString()}`, headers: {}, body: '', timeoutMs: lookupTimeoutMs, agent,
		});
		const answer = status === 200 ? parseLookupAnswer(body) : undefined;
		return answer && {
			addresses: answer.addresses.map(({host, port}) => ({host, port})),
			validUntilMs: clock() + (answer.lifetimeSeconds * millisecondsPerSecond),
		};
	};

	const refresh = async (service: string): Promise<readonly SocketAddress[]> => {
		const cached = cache.get(service);
		for (const address of [...shuffle(entries, random), ...(cached?.addresses ?? [])]) {
			const fresh = await lookUp(service, address); // eslint-disable-line no-await-in-loop -- the next entry is queried only if this one fails
			if (fresh !== undefined) {
				cache.set(service, fresh);
				return fresh.addresses;
			}
		}

		return cached?.addresses ?? [];
	};

	/** Looks up the entries of a service; concurrent calls share one look-up. */
	const refreshOnce = async (service: string): Promise<readonly SocketAddress[]> => {
		const pendingRefresh = pendingRefreshes.get(service) ?? refresh(service);
		pendingRefreshes.set(service, pendingRefresh);
		const addresses = await pendingRefresh;
		pendingRefreshes.delete(service);
		return addresses;
	};

	return {
		async findEntries(service) {
			const cached = cache.get(service);
			return cached !== undefined && clock() < cached.validUntilMs ? cached.addresses : refreshOnce(service);
		},
	};
};
