/**
 * Changes that are still to be passed on.
 */

/** Ids of changed members, each with the number of messages that it still goes into. */
export type NewsQueue = {
	/** Passes on a change, from now on instead of an earlier one of the same member. */
	readonly add: (id: string, messages: number) => void;
	/** The ids to send next, those sent least first; counts them as sent. */
	readonly take: (limit: number) => readonly string[];
	readonly size: () => number;
};

const maximumNews = 1024;

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export const createNewsQueue = (): NewsQueue => {
	const remaining = new Map<string, number>();

	const count = (id: string, messages: number) => {
		remaining.delete(id);
		if (messages > 1) {
			remaining.set(id, messages - 1);
		}
	};

	return {
		add(id, messages) {
			remaining.delete(id);
			if (remaining.size < maximumNews) {
				remaining.set(id, messages);
			}
		},
		take(limit) {
			const chosen = [...remaining.entries()]
				.toSorted(([, a], [, b]) => b - a)
				.slice(0, Math.max(limit, 0));
			for (const [id, messages] of chosen) {
				count(id, messages);
			}

			return chosen.map(([id]) => id);
		},
		size: () => remaining.size,
	};
};
