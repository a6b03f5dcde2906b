/**
 * Spreads requests over zones by weight with little deviation at any moment.
 *
 * A weighted draw would let the counts in a short window stray from the split by chance; the
 * smooth weighted round robin used here keeps each zone within about one request of its share.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ZoneShare} from '@filbertwell/types/split';

/** Chooses zones in turn. */
export type EvenSpread = {
	/** Next zone; `undefined` where no zone has a share. */
	readonly next: (shares: readonly ZoneShare[]) => AvailabilityZoneName | undefined;
};

/**
 * Creates a spread without credit.
 *
 * @returns The spread. Shares may change from call to call; they need not add up to 1.
 */
export const createEvenSpread = (): EvenSpread => {
	const credits = new Map<AvailabilityZoneName, number>();

	const forgetAbsent = (shares: readonly ZoneShare[]) => {
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

			forgetAbsent(shares);
			return best;
		},
	};
};
