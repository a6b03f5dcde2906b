/**
 * Order of endpoints for an affinity key: weighted rendezvous hashing. All instances with the same
 * view agree on it, and a change of one endpoint or weight moves only the keys that it concerns.
 */
import {placementHash} from '@filbertwell/utils/hash';

/** A place with its weight; a weight of 0 puts it last. */
export type WeightedPlace = {
	readonly id: string;
	readonly weight: number;
};

const hashRange = 2 ** 32;

/**
 * Scores a place for a key; the place with the highest score is the key's first choice.
 *
 * @param key - Affinity key.
 * @param place - Place and weight.
 * @returns A score above 0, or 0 for a place without weight.
 */
export const affinityScore = (key: string, {id, weight}: WeightedPlace): number => {
	if (weight <= 0) {
		return 0;
	}

	const uniform = (placementHash(`${key}\u0000${id}`) + 0.5) / hashRange;
	return -weight / Math.log(uniform);
};

/**
 * Orders places for a key.
 *
 * @param key - Affinity key.
 * @param places - Places and weights.
 * @returns Ids, first choice first.
 */
export const affinityOrder = (key: string, places: readonly WeightedPlace[]): string[] => places
	.map(place => ({id: place.id, score: affinityScore(key, place)}))
	.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
	.map(({id}) => id);
