/**
 * Replica of a watched table in the memory of this process.
 */
import type {Clock} from '@filbertwell/utils/clock';
import {Subject, type Observable} from 'rxjs';
import type {VersionedRows, WatchedRow} from './watchedTable.js';

/** A change of the replica. */
export type ReplicaChange = {
	/** Rows whose value changed, in order; empty if none did. A row that changed several times is included each time. */
	readonly rows: readonly WatchedRow[];
	/** Age of the replica directly before this change, in milliseconds. */
	readonly staleForMs: number;
};

/** Replica of a watched table. Its version never decreases. */
export type RowReplica = {
	/** Version of the replica; `undefined` before the first snapshot. */
	readonly version: () => number | undefined;
	/** Milliseconds since the replica was last known to be current, or since its creation. */
	readonly ageMs: () => number;
	/** Replaces all rows; rows that are missing in the snapshot are removed. Returns `undefined` for a snapshot of an older version. */
	readonly applySnapshot: (snapshot: VersionedRows) => ReplicaChange | undefined;
	/** Applies changed rows. Returns `undefined` before the first snapshot and for changes of an older version. */
	readonly applyChanges: (changes: VersionedRows) => ReplicaChange | undefined;
	/** All rows, for a peer that can't read the table itself; `undefined` before the first snapshot. */
	readonly snapshot: () => VersionedRows | undefined;
	/** Current state of the rows that changed after a version; `undefined` if the changes are no longer retained. */
	readonly changesSince: (version: number) => readonly WatchedRow[] | undefined;
	/** Emits after each accepted snapshot or set of changes, even if no row changed. */
	readonly refreshed: Observable<void>;
};

/** Number of changed rows that are retained for peers. A peer that missed more reads the table itself. */
const maximumRetainedChanges = 2000;

/**
 * Creates an empty replica.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The replica.
 */
export const createRowReplica = (clock: Clock): RowReplica => {
	const rows = new Map<string, string>();
	/** Version in which each key last changed, ordered by change with the latest last. */
	const changeVersions = new Map<string, number>();
	const refreshed = new Subject<void>();
	let version: number | undefined;
	/** All changes after this version are retained. */
	let retainedSinceVersion: number | undefined;
	let refreshedAtMs = clock();

	const retainChange = (key: string, newVersion: number) => {
		changeVersions.delete(key);
		changeVersions.set(key, newVersion);
		if (changeVersions.size > maximumRetainedChanges) {
			const [oldestKey, changeVersion] = changeVersions.entries().next().value!;
			changeVersions.delete(oldestKey);
			retainedSinceVersion = changeVersion;
		}
	};

	const apply = (candidateRows: readonly WatchedRow[], newVersion: number, ageMs: number): ReplicaChange => {
		const staleForMs = clock() - refreshedAtMs;
		const changedRows: WatchedRow[] = [];
		const isFirst = version === undefined;
		for (const row of candidateRows) {
			const {key, value} = row;
			// Compared here and not in advance, because an earlier row of the same batch may have changed the value.
			if (rows.get(key) === value) {
				continue;
			}

			changedRows.push(row);
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, value);
			}

			if (!isFirst) {
				retainChange(key, newVersion);
			}
		}

		retainedSinceVersion ??= newVersion;
		version = newVersion;
		refreshedAtMs = Math.max(refreshedAtMs, clock() - ageMs);
		refreshed.next();
		return {rows: changedRows, staleForMs};
	};

	return {
		version: () => version,
		ageMs: () => clock() - refreshedAtMs,
		applySnapshot(snapshot) {
			if (version !== undefined && snapshot.version < version) {
				return undefined;
			}

			const presentKeys = new Set(snapshot.rows.map(({key}) => key));
			const removed = [...rows.keys()].filter(key => !presentKeys.has(key)).map(key => ({key, value: undefined}));
			return apply([...snapshot.rows, ...removed], snapshot.version, snapshot.ageMs ?? 0);
		},
		applyChanges(changes) {
			return version === undefined || changes.version < version ? undefined : apply(changes.rows, changes.version, changes.ageMs ?? 0);
		},
		snapshot: () => version === undefined
			? undefined
			: {rows: [...rows].map(([key, value]) => ({key, value})), version},
		changesSince(since) {
			if (retainedSinceVersion === undefined || since < retainedSinceVersion) {
				return undefined;
			}

			return [...changeVersions].filter(([, changeVersion]) => changeVersion > since).map(([key]) => ({key, value: rows.get(key)}));
		},
		refreshed,
	};
};
