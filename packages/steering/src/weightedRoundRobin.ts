/**
 * Distributes requests over zones by smooth weighted round robin.
 *
 * It keeps each zone within about one request of its share at any moment. A weighted random draw
 * would let the counts of a short window deviate from the split by chance.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ZoneShare} from '@filbertwell/types/split';

/** Chooses zones in proportion to their shares. */
export type WeightedRoundRobin = {
	/** Returns the zone of the next request; `undefined` if no zone has a share. */
	readonly next: (shares: readonly ZoneShare[]) => AvailabilityZoneName | undefined;
};

/**
 * Creates a round robin in which no zone has credit yet.
 *
 * @returns The round robin. Shares may change between calls and need not add up to 1.
 */
export const createWeightedRoundRobin = (): WeightedRoundRobin => {
	const credits = new Map<AvailabilityZoneName, number>();

	const deleteAbsentZones = (shares: readonly ZoneShare[]) => {
		if (credits.size <= shares.length) {
			return;
		}

		const present = new Set(shares.map(share => share.availabilityZone));
		for (const name of credits.keys()) {
			if (!present.has(name)) {
				credits.delete(name);
			}
		}
	};

	return {
		next(shares) {
			let best: AvailabilityZoneName | undefined;
			let bestCredit = Number.NEGATIVE_INFINITY;
			let total = 0;
			for (const {availabilityZone, share} of shares) {
				const credit = (credits.get(availabilityZone) ?? 0) + share;
				credits.set(availabilityZone, credit);
				total += share;
				if (share > 0 && credit > bestCredit) {
					best = availabilityZone;
					bestCredit = credit;
				}
			}

			if (best !== undefined) {
				credits.set(best, bestCredit - total);
			}

			deleteAbsentZones(shares);
			return best;
		},
	};
};
