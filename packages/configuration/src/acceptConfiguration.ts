/**
 * Accepts an intent as the next version: parts to the object store, then one transaction.
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
import {forEachBounded} from './boundedWork.js';
import {
	collectionKey, formatHead, headKey, parseHead, versionKey, versionPrefix, type Head,
} from './head.js';
import {hashOfReference, partKey, type PartReference} from './partReference.js';
import {listPartTree} from './partTree.js';
import {readVersion} from './readConfiguration.js';
import {splitIntent, type Part} from './splitIntent.js';
import {createStoreFetcher} from './storedParts.js';

/** Parameters of an acceptance. */
export type AcceptanceOptions = {
	readonly platform: Platform;
	readonly intent: Intent;
	/** Version that the intent was made from; 0 for none. */
	readonly expectedVersion: number;
	/** Unique token of this change; the same one again does not make a second version. */
	readonly changeId: string;
	readonly author: string;
	/** ISO 8601, for people only. */
	readonly acceptedAt: string;
	/**
	 * Version that the new one must pass in any case. To be given only after the table was
	 * restored from a backup while entries have a higher version in force.
	 */
	readonly minimumVersion?: number | undefined;
	/** Waits between attempts to settle an unknown outcome. */
	readonly wait?: ((milliseconds: number) => Promise<void>) | undefined;
};

/** An accepted change. */
export type Acceptance = {
	readonly head: Head;
	/** Parts that were written for it, which peers may not have yet. */
	readonly newParts: readonly Part[];
};

/**
 * Why a change was not accepted. `conflict`: another change won; its head comes with it.
 * `unavailable`: nothing was accepted, try again. `unknown`: it may yet be accepted; apply it
 * again with the same change id. `invalid`: the change itself cannot be accepted.
 */
export type AcceptanceError =
	| {readonly kind: 'conflict'; readonly head: Head | undefined; readonly detail: string}
	| {readonly kind: 'unavailable'; readonly detail: string}
	| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string}
	| {readonly kind: 'invalid'; readonly detail: string};

type Outcome = Result<Acceptance, AcceptanceError>;

/** State of the table that an acceptance builds on. */
type Base = {
	readonly head: Head | undefined;
	readonly headRevision: number;
	readonly generation: number;
	readonly collectionRevision: number;
};

const maximumAttempts = 6;
const firstWaitMs = 100;
const putConcurrency = 16;
/** Problems of an intent that are named in an error. */
const maximumProblems = 5;

const fromPlatform = ({kind, operation, detail}: PlatformError): AcceptanceError => ({
	kind: kind === 'invalid' ? 'invalid' : 'unavailable',
	detail: `${operation}: ${detail}`,
});

const readBase = async (platform: Platform): Promise<Result<Base, AcceptanceError>> => {
	const [headRow, collectionRow] = await Promise.all([platform.table.read(headKey), platform.table.read(collectionKey)]);
	if (headRow.isErr()) {
		return err(fromPlatform(headRow.error));
	}

	if (collectionRow.isErr()) {
		return err(fromPlatform(collectionRow.error));
	}

	const head = headRow.value === undefined ? ok(undefined) : parseHead(headRow.value.value);
	return head
		.mapErr((error): AcceptanceError => ({kind: 'invalid', detail: `row ${headKey} cannot be read (${error.detail}); restore it from the newest row under ${versionPrefix}`}))
		.map(value => ({
			head: value,
			headRevision: headRow.value?.revision ?? 0,
			generation: Number(collectionRow.value?.value ?? '0'),
			collectionRevision: collectionRow.value?.revision ?? 0,
		}));
};

const listKnownParts = async (platform: Platform, head: Head | undefined): Promise<ReadonlyMap<string, PartReference>> => {
	const tree = head === undefined ? undefined : await listPartTree(head.manifest, createStoreFetcher(platform).fetch);
	// If the accepted tree cannot be read, all parts are written anew.
	const references = tree?.isOk() === true ? tree.value : [];
	return new Map(references.map(reference => [hashOfReference(reference), reference]));
};

const putParts = async (platform: Platform, parts: readonly Part[]): Promise<Result<void, AcceptanceError>> => {
	let failure: AcceptanceError | undefined;
	await forEachBounded(parts, putConcurrency, async ({reference, content}) => {
		const result = await platform.objects.put(partKey(reference), content);
		if (result.isErr()) {
			failure ??= fromPlatform(result.error);
		}

		return result.isOk();
	});
	return failure === undefined ? ok() : err(failure);
};

const createTransaction = (base: Base, head: Head): Transaction => ({
	checks: [{key: headKey, revision: base.headRevision}, {key: collectionKey, revision: base.collectionRevision}],
	writes: [{key: headKey, value: formatHead(head)}, {key: versionKey(head.version), value: formatHead(head)}],
});

const accept = async (options: AcceptanceOptions): Promise<Outcome> => {
	const checked = checkIntent(options.intent);
	if (checked.isErr()) {
		return err({kind: 'invalid', detail: checked.error.slice(0, maximumProblems).map(problem => formatIntentProblem(problem)).join('; ')});
	}

	const {platform, intent, expectedVersion, changeId, author, acceptedAt} = options;
	const wait = options.wait ?? (async (milliseconds: number) => delay(milliseconds));
	const version = Math.max(expectedVersion, options.minimumVersion ?? 0) + 1;
	/** Whether an earlier transaction of this change may still take effect. */
	let maybeSent = false;
	let newParts: readonly Part[] = [];

	const unsettled = (error: AcceptanceError): Outcome => err(maybeSent && error.kind === 'unavailable'
		? {kind: 'unknown', changeId, detail: error.detail}
		: error);

	/** Finds out whether this change is the one that was accepted as `version`. */
	const findOwn = async (): Promise<Result<Head | undefined, AcceptanceError>> => {
		const record = await readVersion(platform, version);
		return record
			.mapErr((error): AcceptanceError => error.kind === 'malformed' ? {kind: 'invalid', detail: `row ${versionKey(version)}: ${error.detail}`} : fromPlatform(error))
			.map(head => head?.changeId === changeId ? head : undefined);
	};

	const settleAgainst = async (head: Head | undefined): Promise<Outcome> => {
		const own = await findOwn();
		if (own.isErr()) {
			return unsettled(own.error);
		}

		return own.value === undefined
			? err({kind: 'conflict', head, detail: `version ${head?.version ?? 0} is in the table, version ${expectedVersion} was expected; compare with it and apply again`})
			: ok({head: own.value, newParts});
	};

	/** One try; `undefined` asks for another. */
	const attempt = async (): Promise<Outcome | undefined> => {
		const base = await readBase(platform);
		if (base.isErr()) {
			return unsettled(base.error);
		}

		if ((base.value.head?.version ?? 0) !== expectedVersion) {
			return settleAgainst(base.value.head);
		}

		const split = splitIntent(intent, base.value.generation, await listKnownParts(platform, base.value.head));
		newParts = split.newParts;
		const written = await putParts(platform, newParts);
		if (written.isErr()) {
			return unsettled(written.error);
		}

		const head: Head = {
			version, changeId, author, acceptedAt, manifest: split.manifest,
		};
		const result = await platform.table.transact(createTransaction(base.value, head));
		if (result.isOk()) {
			// After a conflict the head is read again: it may show this change, another or a collection.
			return result.value.kind === 'committed' ? ok({head, newParts}) : undefined;
		}

		if (result.error.kind === 'unknown') {
			maybeSent = true;
			return undefined;
		}

		return unsettled(fromPlatform(result.error));
	};

	let waitMs = firstWaitMs;
	for (let attempts = 0; attempts < maximumAttempts; attempts += 1) {
		// Attempts follow each other by nature.
		const outcome = await attempt(); // eslint-disable-line no-await-in-loop
		const settles = outcome === undefined || (outcome.isErr() && outcome.error.kind === 'unknown');
		if (!settles) {
			return outcome;
		}

		await wait(waitMs); // eslint-disable-line no-await-in-loop
		waitMs *= 2;
	}

	return err(maybeSent
		? {kind: 'unknown', changeId, detail: 'the platform did not say whether it took the change; apply it again with the same change id'}
		: {kind: 'unavailable', detail: 'the table changed during each attempt; try again'});
};

/**
 * Accepts an intent as the next version. The one transaction that moves the head is the
 * acceptance; an unknown outcome is settled by looking for the change id in the history.
 *
 * @param options - Platform, intent, version it was made from, and who changes it.
 * @returns The accepted head, or why it was not accepted.
 */
export const acceptConfiguration = (options: AcceptanceOptions): ResultAsync<Acceptance, AcceptanceError> => new ResultAsync(accept(options));
