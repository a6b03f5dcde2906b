/**
 * How one caller finds entries: look-ups that it caches for their lifetime.
 */
import type {Agent} from 'node:http';
import type {LookupAnswer} from '@filbertwell/types/lookupAnswer';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {sendAttempt} from './attempt.js';

/** Parameters of a directory. */
export type EntryDirectoryOptions = {
	/** Entries to ask. */
	readonly entries: readonly SocketAddress[];
	/** Client address to ask for; the connection's own where absent. */
	readonly callerAddress: string | undefined;
	readonly clock: Clock;
	readonly random: Random;
	readonly agent: Agent;
};

/** Finds entries for a service. */
export type EntryDirectory = {
	/** Entries in order of preference; the last known ones while no look-up is answered. */
	readonly findEntries: (service: string) => Promise<readonly SocketAddress[]>;
};

type CachedAnswer = {
	readonly addresses: readonly SocketAddress[];
	readonly validUntilMs: number;
};

const lookupTimeoutMs = 2000;
const millisecondsPerSecond = 1000;

const parseAnswer = (body: string): LookupAnswer | undefined => {
	try {
		const answer = JSON.parse(body) as Partial<LookupAnswer>;
		return Array.isArray(answer.addresses) && answer.addresses.length > 0 ? answer as LookupAnswer : undefined;
	} catch {
		return undefined;
	}
};

/**
 * Puts items in random order.
 *
 * @param items - Items.
 * @param random - Uniform random numbers.
 * @returns A shuffled copy.
 */
export const shuffled = <Item>(items: readonly Item[], random: Random): Item[] => items
	.map(item => ({item, rank: random()}))
	.toSorted((a, b) => a.rank - b.rank)
	.map(({item}) => item);

/**
 * Creates a caller's directory.
 *
 * @param options - Entries to ask, clock and random numbers.
 * @returns The directory.
 */
export const createEntryDirectory = ({entries, callerAddress, clock, random, agent}: EntryDirectoryOptions): EntryDirectory => {
	const cache = new Map<string, CachedAnswer>();
	const refreshes = new Map<string, Promise<readonly SocketAddress[]>>();

	const ask = async (service: string, address: SocketAddress): Promise<CachedAnswer | undefined> => {
		const query = new URLSearchParams({service, ...(callerAddress === undefined ? {} : {address: callerAddress})});
		const {status, body} = await sendAttempt({
			address, method: 'GET', path: `/lookup?${query.toString()}`, headers: {}, body: '', timeoutMs: lookupTimeoutMs, agent,
		});
		const answer = status === 200 ? parseAnswer(body) : undefined;
		return answer && {
			addresses: answer.addresses.map(({host, port}) => ({host, port})),
			validUntilMs: clock() + (answer.lifetimeSeconds * millisecondsPerSecond),
		};
	};

	const refresh = async (service: string): Promise<readonly SocketAddress[]> => {
		const cached = cache.get(service);
		for (const address of [...shuffled(entries, random), ...(cached?.addresses ?? [])]) {
			const fresh = await ask(service, address); // eslint-disable-line no-await-in-loop -- the next is asked only if this one fails
			if (fresh !== undefined) {
				cache.set(service, fresh);
				return fresh.addresses;
			}
		}

		return cached?.addresses ?? [];
	};

	/** Requests that need the same look-up at once share it. */
	const refreshOnce = async (service: string): Promise<readonly SocketAddress[]> => {
		const running = refreshes.get(service) ?? refresh(service);
		refreshes.set(service, running);
		const addresses = await running;
		refreshes.delete(service);
		return addresses;
	};

	return {
		async findEntries(service) {
			const cached = cache.get(service);
			return cached !== undefined && clock() < cached.validUntilMs ? cached.addresses : refreshOnce(service);
		},
	};
};
