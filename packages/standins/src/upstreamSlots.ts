/**
 * Slots of an upstream stand-in with a bounded queue, and statistics of their use over time.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Current and past use of an endpoint's slots. */
export type SlotStatistics = {
	readonly slots: number;
	readonly inUse: number;
	readonly queued: number;
	readonly observedMs: number;
	/** Milliseconds with more requests present than slots. */
	readonly overSlotsMs: number;
	/** Time-weighted mean of the slots in use. */
	readonly meanInUse: number;
	/** Milliseconds with each number of requests present (running or queued), indexed by that number. */
	readonly msByPresent: readonly number[];
	/** Runs started in each second since creation or the last reset. */
	readonly startsPerSecond: readonly number[];
	/** Time of the last start on the stand-in's clock; `undefined` if there was none since the last reset. */
	readonly lastStartAtMs: number | undefined;
};

/** Result of a request for a slot: granted, rejected because the queue is full, or aborted by its signal. */
export type Admission = 'admitted' | 'full' | 'aborted';

/** Slots with a bounded first-in, first-out queue. */
export type UpstreamSlots = {
	/** Waits for a slot. After `admitted`, the caller must call `release` exactly once. */
	readonly acquire: (signal: AbortSignal) => Promise<Admission>;
	readonly release: () => void;
	readonly inUse: () => number;
	readonly queued: () => number;
	readonly statistics: () => SlotStatistics;
	readonly resetStatistics: () => void;
};

type Waiter = {
	readonly admit: () => void;
};

const millisecondsPerSecond = 1000;

/**
 * Creates slots that are all free.
 *
 * @param slots - Maximum number of requests that run concurrently.
 * @param queueLimit - Maximum number of requests that wait concurrently.
 * @param clock - Monotonic clock in milliseconds.
 * @param onChange - Called after each change of the slots in use or the queue.
 * @returns The slots.
 */
export const createUpstreamSlots = (slots: number, queueLimit: number, clock: Clock, onChange: () => void): UpstreamSlots => {
	const waiters = new Set<Waiter>();
	let inUse = 0;
	let lastChangeAt = clock();
	let observationStart = lastChangeAt;
	let inUseMs = 0;
	let msByPresent: number[] = [];
	let startsPerSecond: number[] = [];
	let lastStartAtMs: number | undefined;

	const accumulateTimes = (): void => {
		const now = clock();
		const presentCount = inUse + waiters.size;
		msByPresent[presentCount] = (msByPresent[presentCount] ?? 0) + (now - lastChangeAt);
		inUseMs += inUse * (now - lastChangeAt);
		lastChangeAt = now;
	};

	const recordStart = (): void => {
		lastStartAtMs = clock();
		const second = Math.floor((lastStartAtMs - observationStart) / millisecondsPerSecond);
		startsPerSecond[second] = (startsPerSecond[second] ?? 0) + 1;
	};

	const occupySlot = (): void => {
		accumulateTimes();
		inUse += 1;
		recordStart();
		onChange();
	};

	const waitForSlot = async (signal: AbortSignal): Promise<Admission> => new Promise(resolve => {
		const abort = (): void => {
			accumulateTimes();
			waiters.delete(waiter);
			onChange();
			resolve('aborted');
		};

		const waiter: Waiter = {
			admit() {
				signal.removeEventListener('abort', abort);
				waiters.delete(waiter);
				occupySlot();
				resolve('admitted');
			},
		};
		accumulateTimes();
		waiters.add(waiter);
		signal.addEventListener('abort', abort, {once: true});
		onChange();
	});

	return {
		async acquire(signal) {
			if (signal.aborted) {
				return 'aborted';
			}

			if (inUse < slots) {
				occupySlot();
				return 'admitted';
			}

			return waiters.size < queueLimit ? waitForSlot(signal) : 'full';
		},
		release() {
			accumulateTimes();
			inUse -= 1;
			const [next] = waiters;
			next?.admit();
			onChange();
		},
		inUse: () => inUse,
		queued: () => waiters.size,
		statistics() {
			accumulateTimes();
			const times = Array.from(msByPresent, milliseconds => milliseconds ?? 0);
			const observedMs = lastChangeAt - observationStart;
			return {
				slots,
				inUse,
				queued: waiters.size,
				observedMs,
				overSlotsMs: times.slice(slots + 1).reduce((sum, milliseconds) => sum + milliseconds, 0),
				meanInUse: observedMs > 0 ? inUseMs / observedMs : 0,
				msByPresent: times,
				startsPerSecond: Array.from(startsPerSecond, count => count ?? 0),
				lastStartAtMs,
			};
		},
		resetStatistics() {
			accumulateTimes();
			observationStart = lastChangeAt;
			inUseMs = 0;
			msByPresent = [];
			startsPerSecond = [];
			lastStartAtMs = undefined;
		},
	};
};
