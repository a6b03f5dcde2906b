/**
 * Division of an endpoint's slots between the entries, without messages between them. Each slot
 * has one owner, found from the list of entries that all of them know: near entries first, by
 * rendezvous hash among equals, and no entry above its even part of the slots. An entry that
 * uses only what it owns can never push an endpoint over its slots, however many entries act
 * at the same moment. While views of the membership differ, a slot may have two owners or none.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import {placementHash, rendezvousOrder} from '@filbertwell/utils/hash';

/** An entry that shares the endpoints. */
export type SharingEntry = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
};

/** What one entry owns of one endpoint. */
export type OwnedSlots = {
	readonly slots: number;
	/** Those of them that long requests may use. */
	readonly forLong: number;
};

type Claim = {
	readonly endpoint: Endpoint;
	readonly slot: number;
	readonly entry: SharingEntry;
	readonly distance: number;
	readonly weight: number;
};

/** The slot of each endpoint that long requests leave to short ones. */
const shortSlot = 0;

const distanceBetween = (entry: SharingEntry, endpoint: Endpoint, regionOf: (zone: string) => string | undefined): number => {
	if (entry.availabilityZone === endpoint.availabilityZone) {
		return 0;
	}

	return entry.region === regionOf(endpoint.availabilityZone) ? 1 : 2;
};

const divide = (claims: readonly Claim[], quota: number, taken: Map<string, string>): void => {
	const counts = new Map<string, number>();
	for (const owner of taken.values()) {
		counts.set(owner, (counts.get(owner) ?? 0) + 1);
	}

	for (const {endpoint, slot, entry} of claims) {
		const key = `${endpoint.id}\u0000${slot}`;
		const count = counts.get(entry.id) ?? 0;
		if (!taken.has(key) && count < quota) {
			taken.set(key, entry.id);
			counts.set(entry.id, count + 1);
		}
	}
};

const claimsOf = (
	slots: ReadonlyArray<{readonly endpoint: Endpoint; readonly slot: number}>,
	entries: readonly SharingEntry[],
	regionOf: (zone: string) => string | undefined,
): Claim[] => slots
	.flatMap(({endpoint, slot}) => entries.map(entry => ({
		endpoint,
		slot,
		entry,
		distance: distanceBetween(entry, endpoint, regionOf),
		weight: placementHash(`${endpoint.id}\u0000${slot}\u0000${entry.id}`),
	})))
	.toSorted((a, b) => a.distance - b.distance || b.weight - a.weight);

/** Where entries outnumber slots, one without any may use one slot of one endpoint. */
const firstChoice = (entryId: string, endpoints: readonly Endpoint[]): ReadonlyMap<string, OwnedSlots> => {
	const [best] = rendezvousOrder(entryId, endpoints.filter(({slots}) => slots > 0).map(({id}) => id));
	return new Map(best === undefined ? [] : [[best, {slots: 1, forLong: 1}]]);
};

/**
 * Finds what an entry owns. Slots for short requests are divided apart from the rest, so that
 * each entry has its part of both.
 *
 * @param entryId - The entry.
 * @param entries - All entries, in any order.
 * @param endpoints - Endpoints of one service that are in use.
 * @param regionOf - Region of an availability zone.
 * @returns Owned slots by endpoint id; absent where it owns none.
 */
export const divideSlots = (
	entryId: string,
	entries: readonly SharingEntry[],
	endpoints: readonly Endpoint[],
	regionOf: (zone: string) => string | undefined,
): ReadonlyMap<string, OwnedSlots> => {
	const slots = endpoints.flatMap(endpoint => Array.from({length: endpoint.slots}, (_, slot) => ({endpoint, slot})));
	const isShort = ({endpoint, slot}: {endpoint: Endpoint; slot: number}) => endpoint.slots > 1 && slot === shortSlot;
	const owned = new Map<string, OwnedSlots>();
	const entryCount = Math.max(1, entries.length);
	const taken = new Map<string, string>();
	let soFar = 0;
	for (const [part, forLong] of [[slots.filter(slot => !isShort(slot)), 1], [slots.filter(slot => isShort(slot)), 0]] as const) {
		soFar += part.length;
		const claims = claimsOf(part, entries, regionOf);
		const quota = Math.floor(soFar / entryCount);
		divide(claims, quota, taken);
		divide(claims, quota + 1, taken);
		for (const {endpoint, slot} of part) {
			if (taken.get(`${endpoint.id}\u0000${slot}`) === entryId) {
				const before = owned.get(endpoint.id) ?? {slots: 0, forLong: 0};
				owned.set(endpoint.id, {slots: before.slots + 1, forLong: before.forLong + forLong});
			}
		}
	}

	return owned.size > 0 ? owned : firstChoice(entryId, endpoints);
};
