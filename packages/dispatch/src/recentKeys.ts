/**
 * The affinity keys that an endpoint has handled most recently, as far as this instance knows.
 */

/** Least-recently-used set of keys. */
export type RecentKeys = {
	readonly has: (key: string) => boolean;
	readonly add: (key: string) => void;
	readonly clear: () => void;
};

/**
 * Creates an empty set.
 *
 * @param capacity - Most keys that it holds.
 * @returns The set.
 */
export const createRecentKeys = (capacity: number): RecentKeys => {
	const keys = new Set<string>();
	return {
		has: key => keys.has(key),
		add(key) {
			keys.delete(key);
			keys.add(key);
			if (keys.size > capacity) {
				keys.delete(keys.values().next().value!);
			}
		},
		clear() {
			keys.clear();
		},
	};
};
