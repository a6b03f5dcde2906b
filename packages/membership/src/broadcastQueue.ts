/**
 * Queue of changes that still have to be sent to peers.
 */

/** Ids of changed members with the number of messages that must still include each. */
export type BroadcastQueue = {
	/** Adds a change, which replaces an earlier one of the same member; ignored if the queue is full. */
	readonly add: (id: string, messages: number) => void;
	/** Returns the ids to send next, those with the most messages left first, and counts a message for each. */
	readonly take: (limit: number) => readonly string[];
	readonly size: () => number;
};

const maximumBroadcasts = 1024;

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export const createBroadcastQueue = (): BroadcastQueue => {
	const remaining = new Map<string, number>();

	const countMessage = (id: string, messages: number) => {
		remaining.delete(id);
		if (messages > 1) {
			remaining.set(id, messages - 1);
		}
	};

	return {
		add(id, messages) {
			remaining.delete(id);
			if (remaining.size < maximumBroadcasts) {
				remaining.set(id, messages);
			}
		},
		take(limit) {
			const chosen = [...remaining.entries()]
				.toSorted(([, a], [, b]) => b - a)
				.slice(0, Math.max(limit, 0));
			for (const [id, messages] of chosen) {
				countMessage(id, messages);
			}

			return chosen.map(([id]) => id);
		},
		size: () => remaining.size,
	};
};
