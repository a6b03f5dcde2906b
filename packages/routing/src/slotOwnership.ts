/**
 * Assigns the slots of endpoints to entries, without messages between them. Each slot has one
 * owner, which every entry computes from the list of entries: near entries come first, entries at
 * the same distance are ordered by rendezvous hash, and no entry gets more than an equal share of
 * the slots. An entry that uses only its own slots cannot overload an endpoint, however many
 * entries act at the same time. While the entries' membership views differ, a slot may have two
 * owners or none.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import {placementHash, rendezvousOrder} from '@filbertwell/utils/hash';

/** An entry that shares the endpoints, and its location. */
export type EntryLocation = {
	readonly id: string;
	readonly region: string;
	readonly availabilityZone: string;
};

/** Slots of one endpoint that one entry owns. */
export type OwnedSlots = {
	readonly slots: number;
	/** Number of those slots that long requests may use. */
	readonly longSlots: number;
};

type SlotCandidate = {
	readonly endpoint: Endpoint;
	readonly slot: number;
	readonly entry: EntryLocation;
	readonly distance: number;
	readonly weight: number;
};

/** Index of the slot of each endpoint that is reserved for short requests. */
const shortRequestSlot = 0;

const distanceBetween = (entry: EntryLocation, endpoint: Endpoint, regionOf: (zone: string) => string | undefined): number => {
	if (entry.availabilityZone === endpoint.availabilityZone) {
		return 0;
	}

	return entry.region === regionOf(endpoint.availabilityZone) ? 1 : 2;
};

const assignSlots = (candidates: readonly SlotCandidate[], quota: number, owners: Map<string, string>): void => {
	const counts = new Map<string, number>();
	for (const owner of owners.values()) {
		counts.set(owner, (counts.get(owner) ?? 0) + 1);
	}

	for (const {endpoint, slot, entry} of candidates) {
		const key = `${endpoint.id}\u0000${slot}`;
		const count = counts.get(entry.id) ?? 0;
		if (!owners.has(key) && count < quota) {
			owners.set(key, entry.id);
			counts.set(entry.id, count + 1);
		}
	}
};

const rankCandidates = (
	slots: ReadonlyArray<{readonly endpoint: Endpoint; readonly slot: number}>,
	entries: readonly EntryLocation[],
	regionOf: (zone: string) => string | undefined,
): SlotCandidate[] => slots
	.flatMap(({endpoint, slot}) => entries.map(entry => ({
		endpoint,
		slot,
		entry,
		distance: distanceBetween(entry, endpoint, regionOf),
		weight: placementHash(`${endpoint.id}\u0000${slot}\u0000${entry.id}`),
	})))
	.toSorted((a, b) => a.distance - b.distance || b.weight - a.weight);

/** When there are more entries than slots, an entry without a slot may use one slot of one endpoint. */
const fallbackSlot = (entryId: string, endpoints: readonly Endpoint[]): ReadonlyMap<string, OwnedSlots> => {
	const [best] = rendezvousOrder(entryId, endpoints.filter(({slots}) => slots > 0).map(({id}) => id));
	return new Map(best === undefined ? [] : [[best, {slots: 1, longSlots: 1}]]);
};

/**
 * Computes the slots that an entry owns. Slots for short requests are assigned separately from the
 * others, so that each entry gets its share of both.
 *
 * @param entryId - Id of the entry.
 * @param entries - All entries, in any order.
 * @param endpoints - Endpoints of one service.
 * @param regionOf - Returns the region of an availability zone, `undefined` for an unknown zone.
 * @returns Owned slots by endpoint id, without endpoints of which the entry owns none.
 */
export const divideSlots = (
	entryId: string,
	entries: readonly EntryLocation[],
	endpoints: readonly Endpoint[],
	regionOf: (zone: string) => string | undefined,
): ReadonlyMap<string, OwnedSlots> => {
	const slots = endpoints.flatMap(endpoint => Array.from({length: endpoint.slots}, (_, slot) => ({endpoint, slot})));
	const isShort = ({endpoint, slot}: {endpoint: Endpoint; slot: number}) => endpoint.slots > 1 && slot === shortRequestSlot;
	const owned = new Map<string, OwnedSlots>();
	const entryCount = Math.max(1, entries.length);
	const owners = new Map<string, string>();
	let slotsConsidered = 0;
	for (const [portion, longSlots] of [[slots.filter(slot => !isShort(slot)), 1], [slots.filter(slot => isShort(slot)), 0]] as const) {
		slotsConsidered += portion.length;
		const candidates = rankCandidates(portion, entries, regionOf);
		const quota = Math.floor(slotsConsidered / entryCount);
		assignSlots(candidates, quota, owners);
		assignSlots(candidates, quota + 1, owners);
		for (const {endpoint, slot} of portion) {
			if (owners.get(`${endpoint.id}\u0000${slot}`) === entryId) {
				const before = owned.get(endpoint.id) ?? {slots: 0, longSlots: 0};
				owned.set(endpoint.id, {slots: before.slots + 1, longSlots: before.longSlots + longSlots});
			}
		}
	}

	return owned.size > 0 ? owned : fallbackSlot(entryId, endpoints);
};
