/**
 * Which parts a configuration is made of, without reading the chunks of client blocks.
 */
import {err, ok, type Result} from 'neverthrow';
import {forEachBounded} from './boundedWork.js';
import type {AssemblyError} from './assembleConfiguration.js';
import type {PartError} from './fetchParts.js';
import {parseManifest, parseReferences} from './partForms.js';
import type {PartReference} from './partReference.js';

const fetchConcurrency = 16;

/**
 * Lists the references of a configuration's parts.
 *
 * @param manifest - Reference of the manifest.
 * @param fetch - Gives a part's content, checked against its hash.
 * @returns The references, the manifest's included, or the first part that could not be had.
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
	const top = content.andThen(text => parseManifest(text).mapErr(error => ({...error, reference: manifest})));
	if (top.isErr()) {
		return err(top.error);
	}

	const nodes = await load(top.value.blocks);
	if (nodes.isErr()) {
		return err(nodes.error);
	}

	const references = [manifest, ...top.value.services, top.value.policy, top.value.sites, top.value.blocks, ...nodes.value];
	let failure: AssemblyError | undefined;
	await forEachBounded(nodes.value, fetchConcurrency, async node => {
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
