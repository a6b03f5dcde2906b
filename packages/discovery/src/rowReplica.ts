/**
 * This process's copy of a watched table.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {Subject, type Observable} from 'rxjs';
import type {TableReading, WatchedRow} from './watchedTable.js';

/** A change of the copy: the rows that differ from before. */
export type ReplicaChange = {
	readonly rows: readonly WatchedRow[];
	/** How long the copy had not been refreshed before this change, in milliseconds. */
	readonly staleForMs: number;
};

/** Copy of a watched table. It never goes back to an older version. */
export type RowReplica = {
	/** Version of the copy; `undefined` before the first reading. */
	readonly version: () => number | undefined;
	/** Milliseconds since the copy was known to be current. */
	readonly ageMs: () => number;
	/** Takes in all rows; rows that are missing there count as removed. */
	readonly replace: (reading: TableReading) => ReplicaChange | undefined;
	/** Takes in the rows that changed. */
	readonly update: (reading: TableReading) => ReplicaChange | undefined;
	/** All rows, for a peer that can't read the table itself. */
	readonly contents: () => TableReading | undefined;
	/** The newest state of the rows that changed after a version; `undefined` where that is no longer known. */
	readonly changesSince: (version: number) => readonly WatchedRow[] | undefined;
	/** Emits after each reading, also of one without changes. */
	readonly refreshed: Observable<void>;
};

/** Changed rows that are remembered for peers; one that missed more reads the table itself. */
const rememberedChanges = 2000;

/**
 * Creates an empty copy.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The copy.
 */
export const createRowReplica = (clock: Clock): RowReplica => {
	const rows = new Map<string, string>();
	/** Version of the reading that brought the last change of each key, the latest change last. */
	const changedAt = new Map<string, number>();
	const refreshed = new Subject<void>();
	let version: number | undefined;
	/** Changes after this version are remembered. */
	let rememberedFrom: number | undefined;
	let refreshedAtMs = clock();

	const remember = (key: string, newVersion: number) => {
		changedAt.delete(key);
		changedAt.set(key, newVersion);
		if (changedAt.size > rememberedChanges) {
			const [oldest, changedWith] = changedAt.entries().next().value!;
			changedAt.delete(oldest);
			rememberedFrom = changedWith;
		}
	};

	const apply = (changed: readonly WatchedRow[], newVersion: number, ageMs: number): ReplicaChange => {
		const staleForMs = clock() - refreshedAtMs;
		const differing = changed.filter(({key, value}) => rows.get(key) !== value);
		const isFirst = version === undefined;
		for (const {key, value} of differing) {
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, value);
			}

			if (!isFirst) {
				remember(key, newVersion);
			}
		}

		rememberedFrom ??= newVersion;
		version = newVersion;
		refreshedAtMs = Math.max(refreshedAtMs, clock() - ageMs);
		refreshed.next();
		return {rows: differing, staleForMs};
	};

	return {
		version: () => version,
		ageMs: () => clock() - refreshedAtMs,
		replace(reading) {
			if (version !== undefined && reading.version < version) {
				return undefined;
			}

			const kept = new Set(reading.rows.map(({key}) => key));
			const removed = [...rows.keys()].filter(key => !kept.has(key)).map(key => ({key, value: undefined}));
			return apply([...reading.rows, ...removed], reading.version, reading.ageMs ?? 0);
		},
		update(reading) {
			return version === undefined || reading.version < version ? undefined : apply(reading.rows, reading.version, reading.ageMs ?? 0);
		},
		contents: () => version === undefined
			? undefined
			: {rows: [...rows].map(([key, value]) => ({key, value})), version},
		changesSince(since) {
			if (rememberedFrom === undefined || since < rememberedFrom) {
				return undefined;
			}

			return [...changedAt].filter(([, changedWith]) => changedWith > since).map(([key]) => ({key, value: rows.get(key)}));
		},
		refreshed,
	};
};
