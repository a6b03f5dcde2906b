/**
 * Hashes: content addresses and the rendezvous order.
 */
import {createHash} from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Hashes content for addressing.
 *
 * @param content - Text or bytes.
 * @returns The SHA-256 digest in lower-case hexadecimal.
 */
export const contentHash = (content: string | Uint8Array): string => createHash('sha256').update(content).digest('hex');

/**
 * Hashes a string for placement, never for integrity.
 *
 * @param text - Any string.
 * @returns An unsigned 32-bit integer.
 */
export const placementHash = (text: string): number => hasher.h32(text);

/**
 * Orders candidates for a key by rendezvous hashing: when one goes, the order of the rest stays.
 *
 * @param key - What is placed.
 * @param candidates - Names of the places.
 * @returns The candidates, best first.
 */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] => candidates
	.map(candidate => ({candidate, weight: placementHash(`${key}\u0000${candidate}`)}))
	.toSorted((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
	.map(({candidate}) => candidate);
