/**
 * Assembles a configuration from its parts, yielding to the event loop between steps.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {ClientBlock, Service} from '@filbertwell/types/intent';
import {
	err, ok, type Result,
} from 'neverthrow';
import {forEachConcurrently, type YieldIfDue} from './cooperativeWork.js';
import type {PartError} from './partFetcher.js';
import type {Head} from './head.js';
import {
	formatBlocks, parseBlocks, parseManifest, parseObject, parseReferences, type MalformedPart, type Policy, type Sites,
} from './partFormats.js';
import {hashOfReference, type PartReference} from './partReference.js';

/** Error of an assembly: a part could not be fetched or parsed. */
export type AssemblyError =
	| PartError
	| (MalformedPart & {readonly reference: PartReference});

/** A configuration with its parts. Later versions reuse the parts, and peers fetch them. */
export type AssembledConfiguration = {
	readonly head: Head;
	readonly configuration: Configuration;
	/** Contents of all parts except the chunks of client blocks, by content hash. */
	readonly contents: ReadonlyMap<string, string>;
	/** Reference of the root of the client blocks. */
	readonly blocksRoot: PartReference;
	/** Chunks of client blocks in list order. */
	readonly orderedChunks: ReadonlyArray<readonly ClientBlock[]>;
	/** Chunks of client blocks by content hash. */
	readonly chunksByHash: ReadonlyMap<string, readonly ClientBlock[]>;
};

export type AssemblyOptions = {
	readonly head: Head;
	/** Fetches the content of a part and verifies its hash. */
	readonly fetch: (reference: PartReference) => Promise<Result<string, PartError>>;
	/** Configuration whose unchanged parts are reused. */
	readonly previous: AssembledConfiguration | undefined;
	readonly yieldIfDue: YieldIfDue;
};

const fetchConcurrency = 16;

/**
 * Returns the content of one part of a configuration.
 *
 * @param assembled - The configuration.
 * @param hash - Content hash of the part.
 * @returns The content, or `undefined` if the configuration has no such part.
 */
export const contentOfPart = (assembled: AssembledConfiguration, hash: string): string | undefined => {
	const chunk = assembled.chunksByHash.get(hash);
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

type Chunks = ReadonlyArray<readonly ClientBlock[]>;

const countBlocks = (chunks: Chunks): number => {
	let count = 0;
	for (const chunk of chunks) {
		count += chunk.length;
	}

	return count;
};

const concatenate = async (chunks: Chunks, yieldIfDue: YieldIfDue): Promise<ClientBlock[]> => {
	const all: ClientBlock[] = [];
	for (const chunk of chunks) {
		all.push(...chunk);
		await yieldIfDue(); // eslint-disable-line no-await-in-loop
	}

	return all;
};

/** Builds the list of all blocks. With a previous configuration, the unchanged blocks at both ends are copied from its list. */
const buildBlockList = async (chunks: Chunks, previous: AssembledConfiguration | undefined, yieldIfDue: YieldIfDue): Promise<readonly ClientBlock[]> => {
	if (previous === undefined) {
		return concatenate(chunks, yieldIfDue);
	}

	const previousChunks = previous.orderedChunks;
	const shorterLength = Math.min(chunks.length, previousChunks.length);
	let unchangedAtStart = 0;
	while (unchangedAtStart < shorterLength && chunks[unchangedAtStart] === previousChunks[unchangedAtStart]) {
		unchangedAtStart += 1;
	}

	let unchangedAtEnd = 0;
	while (unchangedAtEnd < shorterLength - unchangedAtStart && chunks.at(-1 - unchangedAtEnd) === previousChunks.at(-1 - unchangedAtEnd)) {
		unchangedAtEnd += 1;
	}

	const changed = await concatenate(chunks.slice(unchangedAtStart, chunks.length - unchangedAtEnd), yieldIfDue);
	const previousBlocks = previous.configuration.intent.clientBlocks;
	const blocksAtStart = countBlocks(chunks.slice(0, unchangedAtStart));
	const blocksAtEnd = countBlocks(chunks.slice(chunks.length - unchangedAtEnd));
	// `slice` and `concat` copy memory; a spread iterates over the elements and blocks the event loop.
	return previousBlocks.slice(0, blocksAtStart).concat(changed, previousBlocks.slice(previousBlocks.length - blocksAtEnd)); // eslint-disable-line unicorn/prefer-spread
};

/**
 * Fetches, parses and assembles the parts of a configuration. Parts of the previous configuration
 * are not fetched again.
 *
 * @param options - Head, fetch function, previous configuration and the function that yields.
 * @returns The configuration, or the error of the first part that could not be fetched or parsed.
 */
export const assembleConfiguration = async ({head, fetch, previous, yieldIfDue}: AssemblyOptions): Promise<Result<AssembledConfiguration, AssemblyError>> => {
	const contents = new Map<string, string>();
	const chunksByHash = new Map<string, readonly ClientBlock[]>();
	const intern = createInterner();

	const load = async <Value>(reference: PartReference, parse: (text: string) => Result<Value, MalformedPart>): Promise<Result<Value, AssemblyError>> => {
		const hash = hashOfReference(reference);
		const known = previous?.contents.get(hash);
		const content = known === undefined ? await fetch(reference) : ok<string, PartError>(known);
		await yieldIfDue();
		return content.andThen(text => {
			contents.set(hash, text);
			return parse(text).mapErr(error => ({...error, reference}));
		});
	};

	const loadAll = async <Value>(references: readonly PartReference[], parse: (text: string) => Result<Value, MalformedPart>): Promise<Result<Value[], AssemblyError>> => {
		const values: Value[] = [];
		let failure: AssemblyError | undefined;
		await forEachConcurrently(references, fetchConcurrency, async (reference, index) => {
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
		const orderedChunks: Array<readonly ClientBlock[]> = [];
		let failure: AssemblyError | undefined;
		await forEachConcurrently(references, fetchConcurrency, async (reference, index) => {
			const hash = hashOfReference(reference);
			const known = previous?.chunksByHash.get(hash);
			const content = known === undefined ? await fetch(reference) : undefined;
			const blocks = content === undefined
				? ok<readonly ClientBlock[], AssemblyError>(known!)
				: content.andThen(text => parseBlocks(text, intern).mapErr(error => ({...error, reference})));
			await yieldIfDue();
			if (blocks.isErr()) {
				failure ??= blocks.error;
				return false;
			}

			orderedChunks[index] = blocks.value;
			chunksByHash.set(hash, blocks.value);
			return true;
		});
		return failure === undefined ? ok(orderedChunks) : err(failure);
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
	// Consumers take the identical array as the sign that no block changed.
	const areBlocksUnchanged = previous !== undefined && hashOfReference(previous.blocksRoot) === hashOfReference(manifest.value.blocks);
	const clientBlocks = areBlocksUnchanged ? previous.configuration.intent.clientBlocks : await buildBlockList(blocks.value, previous, yieldIfDue);
	const intent = {
		...policy.value, ...sites.value, services: services.value, clientBlocks,
	};
	return ok({
		head, contents, blocksRoot: manifest.value.blocks, orderedChunks: blocks.value, chunksByHash, configuration: {
			version, changeId, author, acceptedAt, intent,
		},
	});
};
