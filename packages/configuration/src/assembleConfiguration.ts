/**
 * Assembles a configuration from its parts, in steps that leave the event loop free.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {ClientBlock, Service} from '@filbertwell/types/intent';
import {
	err, ok, type Result,
} from 'neverthrow';
import {forEachBounded, type Pace} from './boundedWork.js';
import type {PartError} from './fetchParts.js';
import type {Head} from './head.js';
import {
	formatBlocks, parseBlocks, parseManifest, parseObject, parseReferences, type MalformedPart, type Policy, type Sites,
} from './partForms.js';
import {hashOfReference, type PartReference} from './partReference.js';

/** Why a configuration could not be assembled. */
export type AssemblyError =
	| PartError
	| (MalformedPart & {readonly reference: PartReference});

/** A configuration with its parts, of which later ones are made and peers are served. */
export type AssembledConfiguration = {
	readonly head: Head;
	readonly configuration: Configuration;
	/** Contents of all parts but the chunks of client blocks, by hash. */
	readonly contents: ReadonlyMap<string, string>;
	/** Reference of the client blocks' root. */
	readonly blocks: PartReference;
	/** Chunks of client blocks in order. */
	readonly blockLists: ReadonlyArray<readonly ClientBlock[]>;
	/** Chunks of client blocks, by hash. */
	readonly chunks: ReadonlyMap<string, readonly ClientBlock[]>;
};

/** Parameters of an assembly. */
export type AssemblyOptions = {
	readonly head: Head;
	/** Gives a part's content, checked against its hash. */
	readonly fetch: (reference: PartReference) => Promise<Result<string, PartError>>;
	/** Configuration whose unchanged parts are used again. */
	readonly previous: AssembledConfiguration | undefined;
	readonly pace: Pace;
};

const fetchConcurrency = 16;

/**
 * Gives the content of one of a configuration's parts.
 *
 * @param assembled - The configuration.
 * @param hash - Content hash of the part.
 * @returns The content, or `undefined` if the configuration has no such part.
 */
export const contentOfPart = (assembled: AssembledConfiguration, hash: string): string | undefined => {
	const chunk = assembled.chunks.get(hash);
	return chunk === undefined ? assembled.contents.get(hash) : formatBlocks(chunk);
};

const createInterner = () => {
	const names = new Map<string, string>();
	return (name: string): string => {
		const known = names.get(name);
		if (known === undefined) {
			names.set(name, name);
			return name;
		}

		return known;
	};
};

type BlockLists = ReadonlyArray<readonly ClientBlock[]>;

const countBlocks = (lists: BlockLists): number => {
	let count = 0;
	for (const list of lists) {
		count += list.length;
	}

	return count;
};

const concatenate = async (lists: BlockLists, pace: Pace): Promise<ClientBlock[]> => {
	const all: ClientBlock[] = [];
	for (const list of lists) {
		all.push(...list);
		await pace(); // eslint-disable-line no-await-in-loop
	}

	return all;
};

/** Makes the list of all blocks, if it can from an earlier one, of which it copies what stands before and after the change. */
const listBlocks = async (lists: BlockLists, previous: AssembledConfiguration | undefined, pace: Pace): Promise<readonly ClientBlock[]> => {
	if (previous === undefined) {
		return concatenate(lists, pace);
	}

	const earlier = previous.blockLists;
	const shorter = Math.min(lists.length, earlier.length);
	let before = 0;
	while (before < shorter && lists[before] === earlier[before]) {
		before += 1;
	}

	let after = 0;
	while (after < shorter - before && lists.at(-1 - after) === earlier.at(-1 - after)) {
		after += 1;
	}

	const changed = await concatenate(lists.slice(before, lists.length - after), pace);
	const all = previous.configuration.intent.clientBlocks;
	const beforeCount = countBlocks(lists.slice(0, before));
	const afterCount = countBlocks(lists.slice(lists.length - after));
	// Copies memory; a spread goes through the elements one by one and holds the event loop.
	return all.slice(0, beforeCount).concat(changed, all.slice(all.length - afterCount)); // eslint-disable-line unicorn/prefer-spread
};

/**
 * Assembles a configuration.
 *
 * @param options - Head, source of parts, earlier configuration and pace.
 * @returns The configuration, or the first part that could not be had or read.
 */
export const assembleConfiguration = async ({head, fetch, previous, pace}: AssemblyOptions): Promise<Result<AssembledConfiguration, AssemblyError>> => {
	const contents = new Map<string, string>();
	const chunks = new Map<string, readonly ClientBlock[]>();
	const intern = createInterner();

	const load = async <Value>(reference: PartReference, parse: (text: string) => Result<Value, MalformedPart>): Promise<Result<Value, AssemblyError>> => {
		const hash = hashOfReference(reference);
		const known = previous?.contents.get(hash);
		const content = known === undefined ? await fetch(reference) : ok<string, PartError>(known);
		await pace();
		return content.andThen(text => {
			contents.set(hash, text);
			return parse(text).mapErr(error => ({...error, reference}));
		});
	};

	const loadAll = async <Value>(references: readonly PartReference[], parse: (text: string) => Result<Value, MalformedPart>): Promise<Result<Value[], AssemblyError>> => {
		const values: Value[] = [];
		let failure: AssemblyError | undefined;
		await forEachBounded(references, fetchConcurrency, async (reference, index) => {
			const value = await load(reference, parse);
			if (value.isErr()) {
				failure ??= value.error;
				return false;
			}

			values[index] = value.value;
			return true;
		});
		return failure === undefined ? ok(values) : err(failure);
	};

	const loadChunks = async (references: readonly PartReference[]): Promise<Result<Array<readonly ClientBlock[]>, AssemblyError>> => {
		const lists: Array<readonly ClientBlock[]> = [];
		let failure: AssemblyError | undefined;
		await forEachBounded(references, fetchConcurrency, async (reference, index) => {
			const hash = hashOfReference(reference);
			const known = previous?.chunks.get(hash);
			const content = known === undefined ? await fetch(reference) : undefined;
			const blocks = content === undefined
				? ok<readonly ClientBlock[], AssemblyError>(known!)
				: content.andThen(text => parseBlocks(text, intern).mapErr(error => ({...error, reference})));
			await pace();
			if (blocks.isErr()) {
				failure ??= blocks.error;
				return false;
			}

			lists[index] = blocks.value;
			chunks.set(hash, blocks.value);
			return true;
		});
		return failure === undefined ? ok(lists) : err(failure);
	};

	const manifest = await load(head.manifest, parseManifest);
	if (manifest.isErr()) {
		return err(manifest.error);
	}

	const services = await loadAll(manifest.value.services, parseObject<Service>);
	const policy = await load(manifest.value.policy, parseObject<Policy>);
	const sites = await load(manifest.value.sites, parseObject<Sites>);
	const nodes = await load(manifest.value.blocks, parseReferences);
	const references = nodes.isOk() ? await loadAll(nodes.value, parseReferences) : err(nodes.error);
	const blocks = references.isOk() ? await loadChunks(references.value.flat()) : err(references.error);
	if (services.isErr()) {
		return err(services.error);
	}

	if (policy.isErr()) {
		return err(policy.error);
	}

	if (sites.isErr()) {
		return err(sites.error);
	}

	if (blocks.isErr()) {
		return err(blocks.error);
	}

	const {version, changeId, author, acceptedAt} = head;
	// The same list as before tells its readers that no block changed.
	const sameBlocks = previous !== undefined && hashOfReference(previous.blocks) === hashOfReference(manifest.value.blocks);
	const clientBlocks = sameBlocks ? previous.configuration.intent.clientBlocks : await listBlocks(blocks.value, previous, pace);
	const intent = {
		...policy.value, ...sites.value, services: services.value, clientBlocks,
	};
	return ok({
		head, contents, blocks: manifest.value.blocks, blockLists: blocks.value, chunks, configuration: {
			version, changeId, author, acceptedAt, intent,
		},
	});
};
