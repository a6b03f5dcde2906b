/**
 * In-memory state of the platform: rows, objects and instances, without faults. The in-memory
 * platform and the platform stand-in use it.
 */
import type {ListedInstance} from './instanceList.js';
import {maximumScanRows} from './platformLimits.js';
import type {
	Row, Scan, Transaction, TransactionResult,
} from './table.js';

/** In-memory state of a platform. All functions take effect synchronously. */
export type MemoryState = {
	readonly read: (key: string) => Row | undefined;
	readonly scan: (scan: Scan) => readonly Row[];
	readonly transact: (transaction: Transaction) => TransactionResult;
	readonly putObject: (key: string, content: string) => void;
	readonly getObject: (key: string) => string | undefined;
	readonly listObjects: (prefix: string) => readonly string[];
	readonly removeObject: (key: string) => void;
	readonly listInstances: () => readonly ListedInstance[];
	readonly register: (instance: ListedInstance) => void;
	readonly deregister: (id: string) => void;
};

const compareText = (a: string, b: string): number => {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
};

const sortKeys = (keys: Iterable<string>): string[] => [...keys].toSorted(compareText);

/**
 * Creates an empty state.
 *
 * @returns The state.
 */
export const createMemoryState = (): MemoryState => {
	const rows = new Map<string, Row>();
	const objects = new Map<string, string>();
	const instances = new Map<string, ListedInstance>();
	// One counter for all rows, so that a row that is deleted and written again has a higher revision than before.
	let lastRevision = 0;

	const write = (key: string, value: string | undefined): Row | undefined => {
		lastRevision += 1;
		if (value === undefined) {
			rows.delete(key);
			return undefined;
		}

		const row = {key, value, revision: lastRevision};
		rows.set(key, row);
		return row;
	};

	return {
		read: key => rows.get(key),
		scan: ({prefix, after, limit}) => sortKeys(rows.keys())
			.filter(key => key.startsWith(prefix) && key > after)
			.slice(0, Math.min(limit, maximumScanRows))
			.map(key => rows.get(key)!),
		transact({checks, writes}) {
			const hasConflict = checks.some(({key, revision}) => (rows.get(key)?.revision ?? 0) !== revision);
			if (hasConflict) {
				return {kind: 'conflict', rows: checks.map(({key}) => rows.get(key)).filter(row => row !== undefined)};
			}

			return {kind: 'committed', rows: writes.map(({key, value}) => write(key, value)).filter(row => row !== undefined)};
		},
		putObject(key, content) {
			objects.set(key, content);
		},
		getObject: key => objects.get(key),
		listObjects: prefix => sortKeys(objects.keys()).filter(key => key.startsWith(prefix)),
		removeObject(key) {
			objects.delete(key);
		},
		listInstances: () => sortKeys(instances.keys()).map(id => instances.get(id)!),
		register(instance) {
			instances.set(instance.id, instance);
		},
		deregister(id) {
			instances.delete(id);
		},
	};
};
