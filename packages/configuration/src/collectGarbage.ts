/**
 * Garbage collection: removes old versions and the parts that no retained version references.
 *
 * Parts are written under the generation stored in the row `config/collection`. A collection first
 * increments the generation in a transaction that also checks the head. A change that is being
 * accepted at the same time then fails its own check and writes its parts again under the new
 * generation. The keys removed by a collection are therefore never referenced again, and a delayed
 * removal does no harm.
 */
import {configurationEvents} from '@filbertwell/logger/events/configurationEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Platform} from '@filbertwell/platform/platform';
import {maximumScanRows, maximumTransactionRows} from '@filbertwell/platform/platformLimits';
import type {Row, RowCheck} from '@filbertwell/platform/table';
import {
	err, ok, type Result,
} from 'neverthrow';
import type {PartError} from './partFetcher.js';
import {forEachConcurrently} from './cooperativeWork.js';
import {
	collectionKey, headKey, parseHead, versionPrefix, type Head,
} from './head.js';
import {partKey, partPrefix, type PartReference} from './partReference.js';
import {listPartTree} from './partTree.js';
import {createStoreFetcher} from './storedParts.js';

export type CollectionOptions = {
	readonly platform: Platform;
	/** Number of versions to retain, including the accepted one; at least 2 are always retained. */
	readonly keptVersions: number;
	/** Version in force in this process; nothing is removed while the table holds a lower one. */
	readonly versionInForce: number;
	/** Row check that fails once another process holds the lease; `undefined` without the lease. */
	readonly fence: () => RowCheck | undefined;
	readonly log: Logger;
};

/** Number of versions and parts that a collection removed. */
export type Collection = {
	readonly removedVersions: number;
	readonly removedParts: number;
};

/**
 * Why a collection did not finish. `notHolder`: this process does not hold the lease. `changed`: a
 * configuration was accepted during the collection, or another process took the lease.
 * `unavailable`: a platform call failed. `unreadable`: a retained version cannot be read.
 * `headBehind`: the table holds an older version than the one in force, for example after a restore
 * from a backup.
 */
export type CollectionError = {
	readonly kind: 'notHolder' | 'changed' | 'unavailable' | 'unreadable' | 'headBehind';
	readonly detail: string;
};

type TableSnapshot = {
	readonly head: Head;
	readonly headRevision: number;
	readonly generation: number;
	readonly collectionRevision: number;
	readonly oldRows: readonly Row[];
	readonly keptHeads: readonly Head[];
};

const minimumKeptVersions = 2;
const removalConcurrency = 4;
/** Versions removed in one transaction; its check of the lease does not count towards the limit. */
const versionsPerTransaction = maximumTransactionRows;

const fail = (kind: CollectionError['kind'], detail: string) => err({kind, detail});

const scanVersions = async (platform: Platform): Promise<Result<Row[], CollectionError>> => {
	const rows: Row[] = [];
	for (;;) {
		// Each page starts after the last key of the previous page.
		const page = await platform.table.scan({prefix: versionPrefix, after: rows.at(-1)?.key ?? '', limit: maximumScanRows}); // eslint-disable-line no-await-in-loop
		if (page.isErr()) {
			return fail('unavailable', page.error.detail);
		}

		rows.push(...page.value);
		if (page.value.length < maximumScanRows) {
			return ok(rows);
		}
	}
};

const readTableSnapshot = async ({platform, keptVersions, versionInForce}: CollectionOptions): Promise<Result<TableSnapshot | undefined, CollectionError>> => {
	const [headRow, collectionRow] = await Promise.all([platform.table.read(headKey), platform.table.read(collectionKey)]);
	const rows = await scanVersions(platform);
	if (headRow.isErr() || collectionRow.isErr()) {
		return fail('unavailable', 'the head or the collection row could not be read');
	}

	if (rows.isErr()) {
		return err(rows.error);
	}

	if (headRow.value === undefined) {
		return versionInForce === 0 ? ok(undefined) : fail('headBehind', `the table has no head, but version ${versionInForce} is in force`);
	}

	const head = parseHead(headRow.value.value);
	if (head.isErr()) {
		return fail('unreadable', `row ${headKey}: ${head.error.detail}`);
	}

	if (head.value.version < versionInForce) {
		return fail('headBehind', `the table holds version ${head.value.version}, but version ${versionInForce} is in force`);
	}

	const keptRows = rows.value.slice(-Math.max(minimumKeptVersions, keptVersions));
	const keptRecords = keptRows.map(row => parseHead(row.value));
	const unreadableIndex = keptRecords.findIndex(record => record.isErr());
	if (unreadableIndex !== -1) {
		return fail('unreadable', `row ${keptRows[unreadableIndex]!.key} cannot be parsed`);
	}

	return ok({
		head: head.value,
		headRevision: headRow.value.revision,
		generation: Number(collectionRow.value?.value ?? '0'),
		collectionRevision: collectionRow.value?.revision ?? 0,
		oldRows: rows.value.slice(0, rows.value.length - keptRows.length),
		keptHeads: [head.value, ...keptRecords.filter(record => record.isOk()).map(record => record.value)],
	});
};

const listReachableKeys = async (platform: Platform, heads: readonly Head[]): Promise<Result<ReadonlySet<string>, CollectionError>> => {
	const {fetch} = createStoreFetcher(platform);
	// Versions share most index nodes, so each node is fetched only once.
	const fetched = new Map<PartReference, Promise<Result<string, PartError>>>();
	const fetchOnce = async (reference: PartReference) => {
		const pending = fetched.get(reference) ?? fetch(reference);
		fetched.set(reference, pending);
		return pending;
	};

	const keys = new Set<string>();
	for (const {version, manifest} of heads) {
		// Versions are read one at a time to keep the load on the object store low.
		const tree = await listPartTree(manifest, fetchOnce); // eslint-disable-line no-await-in-loop
		if (tree.isErr()) {
			const {kind, reference, detail} = tree.error;
			return fail(kind === 'unavailable' ? 'unavailable' : 'unreadable', `version ${version}, part ${reference}: ${detail}`);
		}

		for (const reference of tree.value) {
			keys.add(partKey(reference));
		}
	}

	return ok(keys);
};

const incrementGeneration = async (platform: Platform, snapshot: TableSnapshot, fence: RowCheck): Promise<Result<void, CollectionError>> => {
	const result = await platform.table.transact({
		checks: [fence, {key: headKey, revision: snapshot.headRevision}, {key: collectionKey, revision: snapshot.collectionRevision}],
		writes: [{key: collectionKey, value: String(snapshot.generation + 1)}],
	});
	if (result.isErr()) {
		return fail('unavailable', result.error.detail);
	}

	return result.value.kind === 'committed'
		? ok()
		: fail('changed', 'a configuration was accepted or another process took the lease during the collection');
};

const removeVersions = async (platform: Platform, rows: readonly Row[], fence: RowCheck): Promise<Result<void, CollectionError>> => {
	for (let start = 0; start < rows.length; start += versionsPerTransaction) {
		const writes = rows.slice(start, start + versionsPerTransaction).map(({key}) => ({key, value: undefined}));
		const result = await platform.table.transact({checks: [fence], writes}); // eslint-disable-line no-await-in-loop
		if (result.isErr()) {
			return fail('unavailable', result.error.detail);
		}

		if (result.value.kind === 'conflict') {
			return fail('changed', 'another process took the lease during the collection');
		}
	}

	return ok();
};

const collect = async (options: CollectionOptions): Promise<Result<Collection, CollectionError>> => {
	const {platform, fence: readFence} = options;
	const fence = readFence();
	if (fence === undefined) {
		return fail('notHolder', 'the lease is not held');
	}

	const snapshot = await readTableSnapshot(options);
	if (snapshot.isErr()) {
		return err(snapshot.error);
	}

	if (snapshot.value === undefined) {
		return ok({removedVersions: 0, removedParts: 0});
	}

	const reachable = await listReachableKeys(platform, snapshot.value.keptHeads);
	if (reachable.isErr()) {
		return err(reachable.error);
	}

	const listed = await platform.objects.list(partPrefix);
	if (listed.isErr()) {
		return fail('unavailable', listed.error.detail);
	}

	const garbage = listed.value.filter(key => !reachable.value.has(key));
	const {oldRows} = snapshot.value;
	if (garbage.length === 0 && oldRows.length === 0) {
		return ok({removedVersions: 0, removedParts: 0});
	}

	const incremented = await incrementGeneration(platform, snapshot.value, fence);
	if (incremented.isErr()) {
		return err(incremented.error);
	}

	// Records of versions are removed before their parts, so that no record references a removed part.
	const removed = await removeVersions(platform, oldRows, fence);
	if (removed.isErr()) {
		return err(removed.error);
	}

	let removedParts = 0;
	await forEachConcurrently(garbage, removalConcurrency, async key => {
		const result = await platform.objects.remove(key);
		removedParts += result.isOk() ? 1 : 0;
		return result.isOk();
	});
	return removedParts === garbage.length
		? ok({removedVersions: oldRows.length, removedParts})
		: fail('unavailable', `only ${removedParts} of ${garbage.length} parts were removed`);
};

/**
 * Runs one collection and logs its result.
 *
 * @param options - Platform, number of versions to retain, and the check of the lease.
 * @returns What was removed, or why the collection did not finish; the next one removes the rest.
 */
export const collectGarbage = async (options: CollectionOptions): Promise<Result<Collection, CollectionError>> => {
	const result = await collect(options);
	if (result.isErr()) {
		options.log(configurationEvents.collectionFailed, {kind: result.error.kind, detail: result.error.detail});
	} else if (result.value.removedVersions + result.value.removedParts > 0) {
		options.log(configurationEvents.partsCollected, {...result.value});
	}

	return result;
};
