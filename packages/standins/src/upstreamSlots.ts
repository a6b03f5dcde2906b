/**
 * Slots of an upstream stand-in with a bounded queue, and how they are used over time.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** How an endpoint's slots were used. */
export type SlotStatistics = {
	readonly slots: number;
	readonly inUse: number;
	readonly queued: number;
	readonly observedMs: number;
	/** Time with more requests present than slots. */
	readonly overSlotsMs: number;
	/** Time-weighted mean of the slots in use. */
	readonly meanInUse: number;
	/** Milliseconds spent with each number of requests present, running or queued. */
	readonly msByPresent: readonly number[];
	/** Runs started in each second since the start. */
	readonly startsPerSecond: readonly number[];
	/** Time of the last start, on the stand-in's clock. */
	readonly lastStartAtMs: number | undefined;
};

/** What became of a request for a slot. */
export type Admission = 'admitted' | 'full' | 'aborted';

/** Slots with a bounded queue in order of arrival. */
export type UpstreamSlots = {
	/** Waits for a slot. Whoever is admitted calls `release` once. */
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
 * Creates idle slots.
 *
 * @param slots - Requests that run at once.
 * @param queueLimit - Requests that wait at once.
 * @param clock - Monotonic milliseconds.
 * @param onChange - Called after each change of use.
 * @returns The slots.
 */
export const createUpstreamSlots = (slots: number, queueLimit: number, clock: Clock, onChange: () => void): UpstreamSlots => {
	const waiters = new Set<Waiter>();
	let inUse = 0;
	let changedAt = clock();
	let observedFrom = changedAt;
	let inUseMs = 0;
	let msByPresent: number[] = [];
	let startsPerSecond: number[] = [];
	let lastStartAtMs: number | undefined;

	const account = (): void => {
		const now = clock();
		const present = inUse + waiters.size;
		msByPresent[present] = (msByPresent[present] ?? 0) + (now - changedAt);
		inUseMs += inUse * (now - changedAt);
		changedAt = now;
	};

	const recordStart = (): void => {
		lastStartAtMs = clock();
		const second = Math.floor((lastStartAtMs - observedFrom) / millisecondsPerSecond);
		startsPerSecond[second] = (startsPerSecond[second] ?? 0) + 1;
	};

	const take = (): void => {
		account();
		inUse += 1;
		recordStart();
		onChange();
	};

	const wait = async (signal: AbortSignal): Promise<Admission> => new Promise(resolve => {
		const abort = (): void => {
			account();
			waiters.delete(waiter);
			onChange();
			resolve('aborted');
		};

		const waiter: Waiter = {
			admit() {
				signal.removeEventListener('abort', abort);
				waiters.delete(waiter);
				take();
				resolve('admitted');
			},
		};
		account();
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
				take();
				return 'admitted';
			}

			return waiters.size < queueLimit ? wait(signal) : 'full';
		},
		release() {
			account();
			inUse -= 1;
			const [next] = waiters;
			next?.admit();
			onChange();
		},
		inUse: () => inUse,
		queued: () => waiters.size,
		statistics() {
			account();
			const times = Array.from(msByPresent, milliseconds => milliseconds ?? 0);
			const observedMs = changedAt - observedFrom;
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
			account();
			observedFrom = changedAt;
			inUseMs = 0;
			msByPresent = [];
			startsPerSecond = [];
			lastStartAtMs = undefined;
		},
	};
};
