/**
 * Limits the number of calls in progress and of calls waiting to start.
 */

/** Whether a call may start. After `entered`, the caller must call `release` exactly once, when its call ends. */
export type AdmissionResult = 'entered' | 'queueFull' | 'timedOut';

/** Concurrency limit with a bounded first-in, first-out queue. */
export type ConcurrencyLimit = {
	/** Waits until the call may start, for at most the given time. */
	readonly acquire: (waitMs: number) => Promise<AdmissionResult>;
	readonly release: () => void;
	readonly active: () => number;
	readonly queued: () => number;
};

type Waiter = {
	readonly admit: () => void;
};

/**
 * Creates a concurrency limit.
 *
 * @param maximumActive - Maximum number of calls in progress.
 * @param maximumQueued - Maximum number of calls that wait; further ones are rejected.
 * @returns The limit.
 */
export const createConcurrencyLimit = (maximumActive: number, maximumQueued: number): ConcurrencyLimit => {
	let active = 0;
	const queue = new Set<Waiter>();

	const waitInQueue = async (waitMs: number) => new Promise<AdmissionResult>(resolve => {
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
		async acquire(waitMs) {
			if (active < maximumActive) {
				active += 1;
				return 'entered';
			}

			return queue.size >= maximumQueued ? 'queueFull' : waitInQueue(waitMs);
		},
		release() {
			const [next] = queue;
			if (next === undefined) {
				active -= 1;
				return;
			}

			// The next call in the queue starts in place of this one, so `active` does not change.
			queue.delete(next);
			next.admit();
		},
		active: () => active,
		queued: () => queue.size,
	};
};
