/**
 * Content hashes for addressing, and rendezvous hashing for placement.
 */
import {createHash} from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Computes the hash under which content is stored.
 *
 * @param content - Text or bytes.
 * @returns The SHA-256 digest in lower-case hexadecimal.
 */
export const contentHash = (content: string | Uint8Array): string => createHash('sha256').update(content).digest('hex');

/**
 * Hashes a string for placement and chunk boundaries. The hash is not cryptographic, so it must not be used to check integrity.
 *
 * @param text - Any string.
 * @returns An unsigned 32-bit integer.
 */
export const placementHash = (text: string): number => hasher.h32(text);

/**
 * Orders candidates for a key by rendezvous hashing: when a candidate is removed, the order of the
 * others does not change.
 *
 * @param key - Key to place.
 * @param candidates - Names of the candidates.
 * @returns The candidates, preferred ones first.
 */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] => candidates
	.map(candidate => ({candidate, weight: placementHash(`${key}\u0000${candidate}`)}))
	.toSorted((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
	.map(({candidate}) => candidate);
