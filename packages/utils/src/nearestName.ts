/**
 * Suggests the known name that is closest to an unknown one, for error messages.
 */

/** Levenshtein distance between two texts. */
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
/** Distance of a candidate that starts with the unknown name: the same as one typing error. */
const prefixDistance = 1;

/**
 * Finds the candidate with the smallest edit distance to a name, ignoring case.
 *
 * @param name - The unknown name; only its first 64 characters are compared.
 * @param candidates - Known names.
 * @returns The closest candidate, or `undefined` if there are no candidates.
 */
export const nearestName = (name: string, candidates: readonly string[]): string | undefined => {
	const searched = name.slice(0, maximumNameLength).toLowerCase();
	let nearest: string | undefined;
	let nearestDistance = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const lowerCaseCandidate = candidate.toLowerCase();
		const isPrefix = searched !== '' && lowerCaseCandidate.startsWith(searched);
		const edits = editDistance(searched, lowerCaseCandidate);
		const distance = isPrefix ? Math.min(edits, prefixDistance) : edits;
		if (distance < nearestDistance) {
			nearest = candidate;
			nearestDistance = distance;
		}
	}

	return nearest;
};
