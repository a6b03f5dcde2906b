/**
 * This process's copy of a watched table.
 */
import type {Clock} from '@filbertwell/utils/clock';
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
};

/**
 * Creates an empty copy.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The copy.
 */
export const createRowReplica = (clock: Clock): RowReplica => {
	const rows = new Map<string, string>();
	let version: number | undefined;
	let refreshedAtMs = clock();

	const apply = (changed: readonly WatchedRow[], newVersion: number): ReplicaChange => {
		const staleForMs = clock() - refreshedAtMs;
		const differing = changed.filter(({key, value}) => rows.get(key) !== value);
		for (const {key, value} of differing) {
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, value);
			}
		}

		version = newVersion;
		refreshedAtMs = clock();
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
			return apply([...reading.rows, ...removed], reading.version);
		},
		update(reading) {
			return version === undefined || reading.version < version ? undefined : apply(reading.rows, reading.version);
		},
		contents: () => version === undefined
			? undefined
			: {rows: [...rows].map(([key, value]) => ({key, value})), version},
	};
};
