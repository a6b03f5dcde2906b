/**
 * The known name that is closest to an unknown one.
 */

/** Edit distance between two names, case ignored. */
const editDistance = (from: string, to: string): number => {
	let previous = Array.from({length: to.length + 1}, (_, index) => index);
	for (let row = 1; row <= from.length; row++) {
		const current = [row];
		for (let column = 1; column <= to.length; column++) {
			const substitution = previous[column - 1]! + (from[row - 1] === to[column - 1] ? 0 : 1);
			current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1));
		}

		previous = current;
	}

	return previous[to.length]!;
};

const maximumNameLength = 64;
/** Distance of a name that begins with the unknown one: as near as one slip of the keyboard. */
const shortenedDistance = 1;

/**
 * Finds the known name that is closest to an unknown one.
 *
 * @param name - The unknown name; only its first 64 characters count.
 * @param candidates - Names to choose from.
 * @returns The closest, or `undefined` where there is none.
 */
export const nearestName = (name: string, candidates: readonly string[]): string | undefined => {
	const wanted = name.slice(0, maximumNameLength).toLowerCase();
	let nearest: string | undefined;
	let nearestDistance = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const known = candidate.toLowerCase();
		const isShortened = wanted !== '' && known.startsWith(wanted);
		const edits = editDistance(wanted, known);
		const distance = isShortened ? Math.min(edits, shortenedDistance) : edits;
		if (distance < nearestDistance) {
			nearest = candidate;
			nearestDistance = distance;
		}
	}

	return nearest;
};
