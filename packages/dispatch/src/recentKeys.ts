/**
 * Stores the affinity keys that this instance most recently sent to an endpoint.
 */

/** Bounded set of keys. When it is full, the least recently added key is evicted. */
export type RecentKeys = {
	readonly has: (key: string) => boolean;
	/** Adds a key, or marks a stored key as the most recent one. */
	readonly add: (key: string) => void;
	readonly clear: () => void;
};

/**
 * Creates an empty set.
 *
 * @param capacity - Maximum number of keys.
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
