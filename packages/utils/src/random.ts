/**
 * Seeded random numbers, so that a run can be reproduced.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Creates a generator of uniformly distributed random numbers.
 *
 * @param seed - Integer seed; equal seeds give equal sequences.
 * @returns The generator.
 */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
