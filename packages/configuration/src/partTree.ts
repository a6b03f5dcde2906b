/**
 * Lists the parts that a configuration consists of without fetching the chunks of client blocks.
 */
import {err, ok, type Result} from 'neverthrow';
import {forEachConcurrently} from './cooperativeWork.js';
import type {AssemblyError} from './assembleConfiguration.js';
import type {PartError} from './partFetcher.js';
import {parseManifest, parseReferences} from './partFormats.js';
import type {PartReference} from './partReference.js';

const fetchConcurrency = 16;

/**
 * Lists the references of a configuration's parts.
 *
 * @param manifest - Reference of the manifest.
 * @param fetch - Fetches the content of a part and verifies its hash.
 * @returns The references, including the manifest's, or the error of the first part that could not be fetched or parsed.
 */
export const listPartTree = async (
	manifest: PartReference,
	fetch: (reference: PartReference) => Promise<Result<string, PartError>>,
): Promise<Result<readonly PartReference[], AssemblyError>> => {
	const load = async (reference: PartReference): Promise<Result<readonly PartReference[], AssemblyError>> => {
		const content = await fetch(reference);
		return content.andThen(text => parseReferences(text).mapErr(error => ({...error, reference})));
	};

	const content = await fetch(manifest);
	const parsedManifest = content.andThen(text => parseManifest(text).mapErr(error => ({...error, reference: manifest})));
	if (parsedManifest.isErr()) {
		return err(parsedManifest.error);
	}

	const nodes = await load(parsedManifest.value.blocks);
	if (nodes.isErr()) {
		return err(nodes.error);
	}

	const references = [manifest, ...parsedManifest.value.services, parsedManifest.value.policy, parsedManifest.value.sites, parsedManifest.value.blocks, ...nodes.value];
	let failure: AssemblyError | undefined;
	await forEachConcurrently(nodes.value, fetchConcurrency, async node => {
		const chunks = await load(node);
		if (chunks.isErr()) {
			failure ??= chunks.error;
			return false;
		}

		references.push(...chunks.value);
		return true;
	});
	return failure === undefined ? ok(references) : err(failure);
};
