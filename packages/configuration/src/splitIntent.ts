/**
 * Splits an intent into content-addressed parts.
 */
import type {Intent} from '@filbertwell/types/intent';
import {contentHash} from '@filbertwell/utils/hash';
import {chunkList, type ChunkSizes} from './chunkList.js';
import {
	formatBlocks, type Manifest, type Policy, type Sites,
} from './partFormats.js';
import {hashOfReference, partReference, type PartReference} from './partReference.js';

/** A part with its content. */
export type Part = {
	readonly reference: PartReference;
	readonly content: string;
};

/** Result of a split: the manifest and the parts to write. */
export type SplitIntent = {
	readonly manifest: PartReference;
	/** Parts that are not stored yet; children precede the parts that reference them. */
	readonly newParts: readonly Part[];
};

const blockChunkSizes: ChunkSizes = {minimum: 128, typical: 160, maximum: 384};
const indexNodeSizes: ChunkSizes = {minimum: 8, typical: 16, maximum: 96};

/**
 * Splits an intent into parts: one for each service, one each for policy and sites, and a tree of
 * chunks for the client blocks.
 *
 * @param intent - The intent.
 * @param generation - Generation under which new parts are written.
 * @param storedParts - References of parts that are stored already, by content hash.
 * @returns Reference of the manifest and the parts to write.
 */
export const splitIntent = (intent: Intent, generation: number, storedParts: ReadonlyMap<string, PartReference>): SplitIntent => {
	const newParts = new Map<string, Part>();
	const add = (content: string): PartReference => {
		const hash = contentHash(content);
		const existing = storedParts.get(hash) ?? newParts.get(hash)?.reference;
		if (existing !== undefined) {
			return existing;
		}

		const reference = partReference(generation, hash);
		newParts.set(hash, {reference, content});
		return reference;
	};

	const {services, sites, sitePreferences, clientBlocks, ...policy} = intent;
	const chunks = chunkList(clientBlocks, block => block.prefix, blockChunkSizes).map(blocks => add(formatBlocks(blocks)));
	const nodes = chunkList(chunks, hashOfReference, indexNodeSizes).map(references => add(JSON.stringify(references)));
	const manifest: Manifest = {
		format: 1,
		services: services.map(service => add(JSON.stringify(service))),
		policy: add(JSON.stringify(policy satisfies Policy)),
		sites: add(JSON.stringify({sites, sitePreferences} satisfies Sites)),
		blocks: add(JSON.stringify(nodes)),
	};
	return {manifest: add(JSON.stringify(manifest)), newParts: [...newParts.values()]};
};
