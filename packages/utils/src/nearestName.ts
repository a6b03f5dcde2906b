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

/**
 * Finds the known name that is closest to an unknown one.
 *
 * @param name - The unknown name; only its first 64 characters count.
 * @param known - Names to choose from.
 * @returns The closest, or `undefined` where none is known.
 */
export const nearestName = (name: string, known: readonly string[]): string | undefined => {
	const wanted = name.slice(0, maximumNameLength).toLowerCase();
	let nearest: string | undefined;
	let nearestDistance = Number.POSITIVE_INFINITY;
	for (const candidate of known) {
		const distance = editDistance(wanted, candidate.toLowerCase());
		if (distance < nearestDistance) {
			nearest = candidate;
			nearestDistance = distance;
		}
	}

	return nearest;
};
