/**
 * Orders endpoints or regions for an affinity key by weighted rendezvous hashing. All instances with the same
 * list of nodes compute the same order, and a change of one node or weight moves only the keys of that node.
 */
import {placementHash} from '@filbertwell/utils/hash';

/** A node of the hash, such as an endpoint or a region. Nodes with a weight of 0 come last. */
export type WeightedNode = {
	readonly id: string;
	readonly weight: number;
};

const hashRange = 2 ** 32;

/**
 * Computes the score of a node for a key. The node with the highest score is the first choice for the key.
 *
 * @param key - Affinity key.
 * @param node - Node with its weight.
 * @returns A score above 0, or 0 for a node with a weight of 0.
 */
export const affinityScore = (key: string, {id, weight}: WeightedNode): number => {
	if (weight <= 0) {
		return 0;
	}

	const uniform = (placementHash(`${key}\u0000${id}`) + 0.5) / hashRange;
	return -weight / Math.log(uniform);
};

/**
 * Orders nodes for a key by descending score; ties are broken by id.
 *
 * @param key - Affinity key.
 * @param nodes - Nodes with their weights.
 * @returns Ids of all nodes, the first choice first.
 */
export const affinityOrder = (key: string, nodes: readonly WeightedNode[]): string[] => nodes
	.map(node => ({id: node.id, score: affinityScore(key, node)}))
	.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
	.map(({id}) => id);
