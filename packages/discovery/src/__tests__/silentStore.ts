/**
 * Stand-in for a watched table of a store that can stop answering, for tests with fake timers.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {VersionedRows, WatchedTable} from '../watchedTable.js';

/** Time of a call and its answer, in milliseconds. */
export const roundTripMs = 30;

/** Clock of the fake timers. */
export const clock = () => Date.now();

/** Waits by the fake timers. */
export const delay = async (milliseconds: number) => new Promise<void>(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Handle of the stand-in. */
export type SilentStore = {
	readonly table: WatchedTable;
	/** Writes a row; returns its version. */
	readonly write: () => number;
	readonly silence: () => void;
	readonly restore: () => void;
	/** Number of reads since the start. */
	readonly reads: () => number;
};

/**
 * Creates a store that answers. Calls that are sent or under way while it is silent are never answered.
 *
 * @param times - Time after which a call that is not answered fails, in addition to its wait for changes, in milliseconds.
 * @returns The store.
 */
export const createSilentStore = ({answerMs}: {readonly answerMs: number}): SilentStore => {
	let version = 1;
	let outages = 0;
	let reads = 0;
	let isSilent = false;
	const waiters = new Set<() => void>();
	const rows = () => ({version, rows: [{key: 'config', value: String(version)}]});

	const unanswered = (): ResultAsync<never, PlatformError> => errAsync({kind: 'unavailable', operation: 'rows.feed', detail: 'no answer'});

	const answer = (timeoutMs: number, wait: () => Promise<void>): ResultAsync<VersionedRows, PlatformError> => {
		reads += 1;
		const outagesAtStart = outages;
		const startedAtMs = clock();
		const isLost = isSilent;
		return okAsync<undefined, PlatformError>(undefined).map(async () => wait()).andThen(() => isLost || outages !== outagesAtStart
			? new ResultAsync(delay(startedAtMs + timeoutMs - clock()).then(async () => unanswered())) // eslint-disable-line promise/prefer-await-to-then
			: okAsync(rows()));
	};

	const table: WatchedTable = {
		readAll: () => answer(answerMs, async () => delay(roundTripMs)),
		readChanges: (after, waitMs) => answer(waitMs + answerMs, async () => {
			await delay(roundTripMs / 2);
			if (version <= after) {
				await new Promise<void>(resolve => {
					waiters.add(resolve);
					setTimeout(resolve, waitMs);
				});
			}

			await delay(roundTripMs / 2);
		}),
	};

	return {
		table,
		write() {
			version += 1;
			for (const wake of waiters) {
				wake();
			}

			waiters.clear();
			return version;
		},
		silence() {
			isSilent = true;
			outages += 1;
		},
		restore() {
			isSilent = false;
		},
		reads: () => reads,
	};
};
