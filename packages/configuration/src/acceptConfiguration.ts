/**
 * Accepts an intent as the next version: writes its parts to the object store, then commits the
 * head and the version's record in one transaction.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {checkIntent} from '@filbertwell/intent/checkIntent';
import {formatIntentProblem} from '@filbertwell/intent/intentProblem';
import type {Platform} from '@filbertwell/platform/platform';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Transaction} from '@filbertwell/platform/table';
import type {Intent} from '@filbertwell/types/intent';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {forEachConcurrently} from './cooperativeWork.js';
import {
	collectionKey, formatHead, headKey, parseHead, versionKey, versionPrefix, type Head,
} from './head.js';
import {hashOfReference, partKey, type PartReference} from './partReference.js';
import {listPartTree} from './partTree.js';
import {readVersion} from './readConfiguration.js';
import {splitIntent, type Part} from './splitIntent.js';
import {createStoreFetcher} from './storedParts.js';

export type AcceptanceOptions = {
	readonly platform: Platform;
	readonly intent: Intent;
	/** Version that the intent was derived from; 0 if no configuration was accepted before. */
	readonly expectedVersion: number;
	/** Idempotency key of this change: applying it again with the same key creates no second version. */
	readonly changeId: string;
	readonly author: string;
	/** ISO 8601; for display only, never compared. */
	readonly acceptedAt: string;
	/**
	 * The new version is higher than this one. Set it only after the table was restored from a
	 * backup while entries still run a higher version.
	 */
	readonly minimumVersion?: number | undefined;
	/** Sleeps for the backoff between attempts; tests replace it. A timer by default. */
	readonly sleep?: ((milliseconds: number) => Promise<void>) | undefined;
};

/** An accepted change: the new head and the parts written for it. */
export type Acceptance = {
	readonly head: Head;
	/** Parts that were written for this version; peers may not have them yet. */
	readonly newParts: readonly Part[];
};

/**
 * Why a change was not accepted. `conflict`: another change was accepted first; `head` is the
 * current one. `unavailable`: nothing was accepted, try again. `unknown`: the transaction may still
 * commit; apply the change again with the same change id. `invalid`: the change was rejected, or
 * the stored head cannot be parsed; a retry does not help.
 */
export type AcceptanceError =
	| {readonly kind: 'conflict'; readonly head: Head | undefined; readonly detail: string}
	| {readonly kind: 'unavailable'; readonly detail: string}
	| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string}
	| {readonly kind: 'invalid'; readonly detail: string};

type Outcome = Result<Acceptance, AcceptanceError>;

/** Rows that the transaction builds on, with their revisions for the optimistic check. */
type TableSnapshot = {
	readonly head: Head | undefined;
	readonly headRevision: number;
	readonly generation: number;
	readonly collectionRevision: number;
};

const maximumAttempts = 6;
const initialBackoffMs = 100;
const uploadConcurrency = 16;
/** Number of an intent's problems that an error message lists. */
const maximumListedProblems = 5;

const toAcceptanceError = ({kind, operation, detail}: PlatformError): AcceptanceError => ({
	kind: kind === 'invalid' ? 'invalid' : 'unavailable',
	detail: `${operation}: ${detail}`,
});

const readTableSnapshot = async (platform: Platform): Promise<Result<TableSnapshot, AcceptanceError>> => {
	const [headRow, collectionRow] = await Promise.all([platform.table.read(headKey), platform.table.read(collectionKey)]);
	if (headRow.isErr()) {
		return err(toAcceptanceError(headRow.error));
	}

	if (collectionRow.isErr()) {
		return err(toAcceptanceError(collectionRow.error));
	}

	const head = headRow.value === undefined ? ok(undefined) : parseHead(headRow.value.value);
	return head
		.mapErr((error): AcceptanceError => ({kind: 'invalid', detail: `row ${headKey} cannot be parsed (${error.detail}); restore it from the newest row under ${versionPrefix}`}))
		.map(value => ({
			head: value,
			headRevision: headRow.value?.revision ?? 0,
			generation: Number(collectionRow.value?.value ?? '0'),
			collectionRevision: collectionRow.value?.revision ?? 0,
		}));
};

const listStoredParts = async (platform: Platform, head: Head | undefined): Promise<ReadonlyMap<string, PartReference>> => {
	const tree = head === undefined ? undefined : await listPartTree(head.manifest, createStoreFetcher(platform).fetch);
	// If the accepted version's parts cannot be listed, every part is written again.
	const references = tree?.isOk() === true ? tree.value : [];
	return new Map(references.map(reference => [hashOfReference(reference), reference]));
};

const putParts = async (platform: Platform, parts: readonly Part[]): Promise<Result<void, AcceptanceError>> => {
	let failure: AcceptanceError | undefined;
	await forEachConcurrently(parts, uploadConcurrency, async ({reference, content}) => {
		const result = await platform.objects.put(partKey(reference), content);
		if (result.isErr()) {
			failure ??= toAcceptanceError(result.error);
		}

		return result.isOk();
	});
	return failure === undefined ? ok() : err(failure);
};

const createTransaction = (snapshot: TableSnapshot, head: Head): Transaction => ({
	checks: [{key: headKey, revision: snapshot.headRevision}, {key: collectionKey, revision: snapshot.collectionRevision}],
	writes: [{key: headKey, value: formatHead(head)}, {key: versionKey(head.version), value: formatHead(head)}],
});

const accept = async (options: AcceptanceOptions): Promise<Outcome> => {
	const checked = checkIntent(options.intent);
	if (checked.isErr()) {
		return err({kind: 'invalid', detail: checked.error.slice(0, maximumListedProblems).map(problem => formatIntentProblem(problem)).join('; ')});
	}

	const {platform, intent, expectedVersion, changeId, author, acceptedAt} = options;
	const sleep = options.sleep ?? (async (milliseconds: number) => delay(milliseconds));
	const version = Math.max(expectedVersion, options.minimumVersion ?? 0) + 1;
	/** Whether an earlier transaction of this change may have committed or may still commit. */
	let mayHaveCommitted = false;
	let newParts: readonly Part[] = [];

	const toFailure = (error: AcceptanceError): Outcome => err(mayHaveCommitted && error.kind === 'unavailable'
		? {kind: 'unknown', changeId, detail: error.detail}
		: error);

	/** Returns the record of `version` if this change created it. */
	const findOwnRecord = async (): Promise<Result<Head | undefined, AcceptanceError>> => {
		const record = await readVersion(platform, version);
		return record
			.mapErr((error): AcceptanceError => error.kind === 'malformed' ? {kind: 'invalid', detail: `row ${versionKey(version)}: ${error.detail}`} : toAcceptanceError(error))
			.map(head => head?.changeId === changeId ? head : undefined);
	};

	const resolveVersionMismatch = async (head: Head | undefined): Promise<Outcome> => {
		const ownRecord = await findOwnRecord();
		if (ownRecord.isErr()) {
			return toFailure(ownRecord.error);
		}

		return ownRecord.value === undefined
			? err({kind: 'conflict', head, detail: `the table holds version ${head?.version ?? 0}, but version ${expectedVersion} was expected; compare the change with it and apply again`})
			: ok({head: ownRecord.value, newParts});
	};

	/** Makes one attempt; `undefined` means that another attempt is needed. */
	const attempt = async (): Promise<Outcome | undefined> => {
		const snapshot = await readTableSnapshot(platform);
		if (snapshot.isErr()) {
			return toFailure(snapshot.error);
		}

		if ((snapshot.value.head?.version ?? 0) !== expectedVersion) {
			return resolveVersionMismatch(snapshot.value.head);
		}

		const split = splitIntent(intent, snapshot.value.generation, await listStoredParts(platform, snapshot.value.head));
		newParts = split.newParts;
		const written = await putParts(platform, newParts);
		if (written.isErr()) {
			return toFailure(written.error);
		}

		const head: Head = {
			version, changeId, author, acceptedAt, manifest: split.manifest,
		};
		const result = await platform.table.transact(createTransaction(snapshot.value, head));
		if (result.isOk()) {
			// The conflict may come from this change's own earlier attempt, another change or a collection;
			// the next attempt reads the head again to tell them apart.
			return result.value.kind === 'committed' ? ok({head, newParts}) : undefined;
		}

		if (result.error.kind === 'unknown') {
			mayHaveCommitted = true;
			return undefined;
		}

		return toFailure(toAcceptanceError(result.error));
	};

	let backoffMs = initialBackoffMs;
	for (let attempts = 0; attempts < maximumAttempts; attempts += 1) {
		// Each attempt depends on the outcome of the previous one.
		const outcome = await attempt(); // eslint-disable-line no-await-in-loop
		const shouldRetry = outcome === undefined || (outcome.isErr() && outcome.error.kind === 'unknown');
		if (!shouldRetry) {
			return outcome;
		}

		await sleep(backoffMs); // eslint-disable-line no-await-in-loop
		backoffMs *= 2;
	}

	return err(mayHaveCommitted
		? {kind: 'unknown', changeId, detail: 'the platform did not confirm whether the change was committed; apply it again with the same change id'}
		: {kind: 'unavailable', detail: 'the table changed during every attempt; try again'});
};

/**
 * Accepts an intent as the next version. The change is accepted once the transaction that replaces
 * the head commits. If its outcome is unknown, the record of the version shows by its change id
 * whether it committed. Retries with exponential backoff.
 *
 * @param options - Platform, intent, the version it was derived from, and the author.
 * @returns The accepted head and the parts written for it, or why the change was not accepted.
 */
export const acceptConfiguration = (options: AcceptanceOptions): ResultAsync<Acceptance, AcceptanceError> => new ResultAsync(accept(options));
