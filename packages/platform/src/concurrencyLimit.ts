/**
 * Bounds the calls in progress and the calls that wait.
 */

/** Whether a call may start. A call that starts calls `leave` once, when it ends. */
export type Entrance = 'entered' | 'queueFull' | 'timedOut';

/** Limit of concurrent calls with a bounded first-in first-out queue. */
export type ConcurrencyLimit = {
	/** Waits for a free place, at most some milliseconds. */
	readonly enter: (waitMs: number) => Promise<Entrance>;
	readonly leave: () => void;
	readonly active: () => number;
	readonly queued: () => number;
};

type Waiter = {
	readonly admit: () => void;
};

/**
 * Creates a limit.
 *
 * @param maximumActive - Calls in progress at once.
 * @param maximumQueued - Calls that may wait; one more is turned away.
 * @returns The limit.
 */
export const createConcurrencyLimit = (maximumActive: number, maximumQueued: number): ConcurrencyLimit => {
	let active = 0;
	const queue = new Set<Waiter>();

	const waitInQueue = async (waitMs: number) => new Promise<Entrance>(resolve => {
		const waiter: Waiter = {
			admit() {
				clearTimeout(timer);
				resolve('entered');
			},
		};
		const timer = setTimeout(() => {
			queue.delete(waiter);
			resolve('timedOut');
		}, waitMs);
		queue.add(waiter);
	});

	return {
		async enter(waitMs) {
			if (active < maximumActive) {
				active += 1;
				return 'entered';
			}

			return queue.size >= maximumQueued ? 'queueFull' : waitInQueue(waitMs);
		},
		leave() {
			const [next] = queue;
			if (next === undefined) {
				active -= 1;
				return;
			}

			// The place passes to the next in the queue, so `active` stays.
			queue.delete(next);
			next.admit();
		},
		active: () => active,
		queued: () => queue.size,
	};
};
